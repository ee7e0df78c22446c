// Package gossip spreads between the entry hosts which of them are alive, which
// incarnation each of them runs, and how many requests arrive at each.
//
// Every host tells a few others, chosen in turn, how long ago each host was last
// heard of. Ages only grow on the way, so an old report can't make a dead host
// look alive, and the number of messages does not grow with the fleet. Nothing
// is agreed: who belongs to the fleet stands in the platform's store.
package gossip
