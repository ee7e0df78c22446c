// Package demo runs a whole fleet as separate processes on the loopback
// interface, drives real requests through it while hosts, upstreams and the
// store fail, and compares what the callers were told with the runs at the
// upstreams. It is a test program and is not shipped.
package demo
