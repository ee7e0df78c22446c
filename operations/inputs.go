package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// Begin asks for a claim on behalf of a request. Decided outputs with the same
// attempt follow.
type Begin struct {
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	// Wait bounds the time until the last Decided.
	Wait time.Duration
}

// MachineInput marks Begin as an input.
func (Begin) MachineInput() {}

// Finish says how an attempt ended, or that the request does not wait for the
// decision any more (EndingRelease).
type Finish struct {
	Attempt uint64
	Ending  Ending
	Result  traffic.OperationResult
}

// MachineInput marks Finish as an input.
func (Finish) MachineInput() {}

// UncommittedAcknowledged says that a majority remembers the announcement of
// DeclareUncommitted with the same Since.
type UncommittedAcknowledged struct {
	Since machine.Instant
}

// MachineInput marks UncommittedAcknowledged as an input.
func (UncommittedAcknowledged) MachineInput() {}

// Decided carries a decision to the traffic side. DecisionWaiting is not final;
// after DecisionGranted another decision means that the claim was overtaken.
type Decided struct {
	Attempt  uint64
	Decision Decision
	Result   *traffic.OperationResult
}

// MachineOutput marks Decided as an output.
func (Decided) MachineOutput() {}

// DeclareUncommitted asks membership to announce that this host is about to
// grant claims that are not in the store.
type DeclareUncommitted struct {
	Since machine.Instant
}

// MachineOutput marks DeclareUncommitted as an output.
func (DeclareUncommitted) MachineOutput() {}

// ClearUncommitted says that every claim of this host is in the store.
type ClearUncommitted struct{}

// MachineOutput marks ClearUncommitted as an output.
func (ClearUncommitted) MachineOutput() {}
