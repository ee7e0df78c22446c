package freshness

import (
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

// heartbeatMessageNumber is from the package's range 850 to 899.
const heartbeatMessageNumber = 850

// Messages returns the package's message types for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Heartbeat]()}
}

// Phase is what a fresh reader says about itself.
type Phase uint8

// The phases of a fresh reader.
const (
	// Ended readers can't say that their copy is up to date, or don't read any more.
	Ended Phase = iota
	// Began readers read their first list.
	Began
	// UpToDate readers have the latest state and watch it.
	UpToDate
)

// Heartbeat is the state of a fresh reader.
type Heartbeat struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Revisions are the store revisions of the last changes that the reader has seen, one
	// for each kind of objects that hosts watch.
	Revisions []uint64
	// Evacuations are those that the reader has in force.
	Evacuations Evacuations
}

// Evacuations are the evacuated failure domains, with the position of the store at which a
// reader knew them. Hosts that the store doesn't answer act on them.
type Evacuations struct {
	_        struct{} `cbor:",toarray"`
	Position uint64
	Domains  []fleet.FailureDomain
}

func (e Evacuations) equal(other Evacuations) bool {
	return e.Position == other.Position && slices.Equal(e.Domains, other.Domains)
}

// MessageNumber returns 850.
func (Heartbeat) MessageNumber() uint16 { return heartbeatMessageNumber }

// SetPeers sets the entry hosts, sorted by ID.
type SetPeers struct {
	Peers []gossip.Peer
}

// MachineInput marks SetPeers as an input.
func (SetPeers) MachineInput() {}

// SetCopy sets the state of this host's copy of the store.
type SetCopy struct {
	// UpToDate is true if the host has read the latest state of all kinds and none of
	// its watches is overdue.
	UpToDate bool
	// Reachable is true if the last call to the store of each kind succeeded.
	Reachable bool
	// Revisions are those of the last changes that the host has seen.
	Revisions []uint64
	// Evacuations are those in its copy.
	Evacuations Evacuations
}

// MachineInput marks SetCopy as an input.
func (SetCopy) MachineInput() {}

// State is the output when one of its fields has changed.
type State struct {
	// Reads is true if this host is a fresh reader.
	Reads bool
	// ReaderKnown is true if a reader has recently reported that it is up to date.
	ReaderKnown bool
	// Revisions are the highest that any reader has reported.
	Revisions []uint64
	// Evacuations are the latest that any reader has reported.
	Evacuations Evacuations
}

// MachineOutput marks State as an output.
func (State) MachineOutput() {}
