// Package machine defines the inputs and outputs that all state machines of a
// host share.
//
// A state machine has no clock, goroutine, socket or randomness of its own.
// Each call of Step takes the current time and one input and returns the actions
// to execute. The control loop of the host calls Step from one goroutine; a test
// calls it directly with a virtual clock. The same sequence of inputs always gives
// the same sequence of outputs.
package machine
