// Package alert evaluates the alert rules of the configuration once for a cell.
//
// The reachable active member with the lowest id is the evaluator. It takes over
// with a term that a majority of the members promised to follow, gathers a
// Report from each member, and evaluates the rules every second. A change is
// announced on the time line after a majority has stored the state that holds
// it, so that the next evaluator goes on from there.
package alert
