package machine

// StoreOp is an operation on the platform's object store.
type StoreOp uint8

// The operations of the store.
const (
	// StoreGet reads an object.
	StoreGet StoreOp = iota + 1
	// StoreCreate writes an object that must not exist.
	StoreCreate
	// StoreUpdate writes an object that must have the given version.
	StoreUpdate
	// StoreDelete removes an object that must have the given version.
	StoreDelete
)

// StoreKey identifies an object in the store.
type StoreKey struct {
	Kind string
	Name string
}

// StoreCall requests an operation on the store. The result is returned to the
// same machine as a StoreResult with the same ID.
type StoreCall struct {
	// ID is assigned by the machine and unique among its pending calls.
	ID      uint64
	Op      StoreOp
	Key     StoreKey
	Version uint64
	Value   []byte
}

// MachineOutput marks StoreCall as an output.
func (StoreCall) MachineOutput() {}

// StoreOutcome is the result of an operation on the store.
type StoreOutcome uint8

// The outcomes of a store call.
const (
	// StoreOK means that the operation took effect.
	StoreOK StoreOutcome = iota + 1
	// StoreNotFound means that the object does not exist.
	StoreNotFound
	// StoreConflict means that the object's existence or version was not as
	// required, and nothing changed.
	StoreConflict
	// StoreNotApplied means that nothing changed: the store rejected the call, or
	// the call was never sent.
	StoreNotApplied
	// StoreUnknown means that the response was lost: the change may have taken effect.
	StoreUnknown
)

// StoreResult is the result of a StoreCall.
type StoreResult struct {
	ID      uint64
	Outcome StoreOutcome
	// Version is the object's version after StoreOK, or its current version after
	// StoreConflict if the store reported it.
	Version uint64
	Value   []byte
	// Started is the instant before the call was sent.
	Started Instant
}

// MachineInput marks StoreResult as an input.
func (StoreResult) MachineInput() {}
