// Package alert evaluates the alert rules of the configuration on one host per
// cell.
//
// The reachable active member with the lowest ID is the evaluator. It takes over
// with a term that a majority of the members promised to follow, collects a
// Report from each member, and evaluates the rules every second. A change is
// recorded on the timeline only after a majority has stored the state that
// contains it, so that the next evaluator continues from that state.
package alert
