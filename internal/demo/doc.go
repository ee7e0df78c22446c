// Package demo runs a whole fleet as separate processes on the loopback
// interface, sends real requests through it while hosts, upstreams and the store
// fail, and compares the responses that callers received with the runs at the
// upstreams. It is a test program and is not shipped.
package demo
