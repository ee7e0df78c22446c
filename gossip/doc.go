// Package gossip spreads the liveness, incarnation and arrival rate of each entry
// host among all entry hosts.
//
// In each round, a host sends a few others, selected by hash, a digest with the time
// since each host was last seen. In larger fleets, receivers reply with their own
// digest, and a host without recent updates is probed directly. Ages only grow in
// transit, so an old report can't make a dead host look alive, and the number of
// messages per host and round does not grow with the fleet. There is no consensus:
// the platform's store defines the members of the fleet.
package gossip
