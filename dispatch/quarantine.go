package dispatch

import (
	"github.com/catkinspring/catkinspring/fleet"
)

// Suspected is the input that reports a crash of an upstream.
type Suspected struct {
	Upstream fleet.Upstream
	// Fingerprints are those that were in flight there, sorted.
	Fingerprints []uint64
	// Alone is true if there was only one.
	Alone bool
}

// MachineInput marks Suspected as an input.
func (Suspected) MachineInput() {}

// Succeeded is the input that reports a success of a suspected fingerprint.
type Succeeded struct {
	Fingerprint uint64
}

// MachineInput marks Succeeded as an input.
func (Succeeded) MachineInput() {}
