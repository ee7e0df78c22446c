// Package host assembles the modules of an entry host into one process.
//
// One goroutine, the control loop, owns every state machine. It applies ticks,
// messages from peers and store results one at a time and executes the outputs.
// Traffic goroutines read immutable snapshots; every wait for the control loop
// is bounded.
package host
