// Package faulttest drives state machines under a virtual clock and injects
// faults at chosen steps.
//
// A Rig holds a few nodes, a queue of messages and a fake object store. All
// randomness comes from one printed seed, so that a run can be repeated exactly.
// A Matrix runs a scenario once without faults to count its steps, and then once
// for each fault at each step.
package faulttest
