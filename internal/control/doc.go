// Package control runs the state machines of a process in one goroutine: it
// delivers ticks, messages of peers and results of the store, and carries out
// what the machines ask for.
package control
