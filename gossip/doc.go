// Package gossip spreads between the entry hosts which of them are alive, which
// incarnation each of them runs, and how many requests arrive at each.
//
// Every host tells a few others, chosen by hash, how long ago each host was last
// heard of; in larger fleets they answer with what they know, and a host of which
// there is no news is asked directly. Ages only grow on the way, so an old report
// can't make a dead host look alive, and the messages of a host and round do not
// grow with the fleet. Nothing is agreed: who belongs to the fleet stands in the
// platform's store.
package gossip
