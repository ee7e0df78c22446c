package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// Begin requests a claim on behalf of a caller's request. The machine answers with
// Decided outputs for the same attempt.
type Begin struct {
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	// Wait limits the time until the final decision.
	Wait time.Duration
}

// MachineInput marks Begin as an input.
func (Begin) MachineInput() {}

// Finish reports how an attempt ended, or with EndingRelease also that the caller
// no longer waits for a decision.
type Finish struct {
	Attempt uint64
	Ending  Ending
	Result  traffic.OperationResult
}

// MachineInput marks Finish as an input.
func (Finish) MachineInput() {}

// UncommittedAcknowledged confirms that a majority has recorded the announcement of
// the DeclareUncommitted with the same Since.
type UncommittedAcknowledged struct {
	Since machine.Instant
}

// MachineInput marks UncommittedAcknowledged as an input.
func (UncommittedAcknowledged) MachineInput() {}

// Decided passes a decision to the traffic side. DecisionWaiting is not final; any
// decision after DecisionGranted means that a later owner refused the claim.
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

// ClearUncommitted notifies membership that every claim of this host is stored.
type ClearUncommitted struct{}

// MachineOutput marks ClearUncommitted as an output.
func (ClearUncommitted) MachineOutput() {}
