// Package control runs the state machines of a process in one goroutine: it
// delivers ticks, peer messages and store results to them, and executes their
// outputs.
package control
