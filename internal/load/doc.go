// Package load is an open-loop load generator for entry hosts.
//
// Arrival times are drawn before the run from a seed, and latency is counted
// from the intended arrival, so a slow system does not slow the load down and
// hide its own delays. Callers look entry hosts up, cache the answers and repeat
// requests as real callers do. Every request is recorded with what each attempt
// was told, so that a check can compare it with the runs at the upstreams.
package load
