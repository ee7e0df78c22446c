// Package host wires the modules into one process.
//
// One goroutine, the control loop, owns every state machine. It applies ticks,
// messages from peers and store results one at a time and carries out their
// outputs. Traffic goroutines read immutable snapshots and never wait for the
// control loop without a bound.
package host
