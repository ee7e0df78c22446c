// Package load is an open-loop load generator for entry hosts.
//
// Arrival times are generated from a seed before the run, and latency is measured
// from the intended arrival. A slow system therefore does not reduce the load or
// hide its own delays (coordinated omission). Callers look up entry hosts, cache
// the answers and retry requests as real callers do. Every request is recorded
// with the response of each attempt, for comparison with the runs at the upstreams.
package load
