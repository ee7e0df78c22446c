package lease

import (
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

// The message numbers of the package, of the range 900 to 949.
const (
	askMessageNumber = 900 + iota
	answerMessageNumber
)

// Messages returns the package's message types for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Ask](), machine.TypeOf[Answer]()}
}

// Ask asks a host to confirm that the sender holds parts of the limits.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Sequence identifies the question among those of the sender's incarnation.
	Sequence uint64
	// Era is that of the store in which the sender has read the entries.
	Era uint64
	// Version is that of the sender's configuration.
	Version uint64
	// Parts are the Registered of the entries whose parts the sender holds.
	Parts []uint64
}

// MessageNumber returns 900.
func (Ask) MessageNumber() uint16 { return askMessageNumber }

// Answer answers an Ask.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// To is the incarnation that asked, Sequence that of the question.
	To       fleet.Incarnation
	Sequence uint64
	// Confirmed is true if the sender's entries name the asking host as holder of all
	// parts, without a suspicion, and no later configuration than that of the asking host
	// divides the limits in another way, as far as the sender knows.
	Confirmed bool
	// Latest is true if the sender has read the entries and the configuration itself as the
	// store's latest state, the one that it read first AgeMillis before it answered.
	Latest    bool
	AgeMillis uint32
	// EraKnown is true if the sender would know of an era that began less than EraDelay ago,
	// and EraMillis is then the time since it learned of one; 0 if there was none.
	EraKnown  bool
	EraMillis uint32
}

// MessageNumber returns 901.
func (Answer) MessageNumber() uint16 { return answerMessageNumber }

// SetEntries sets the entries of all hosts. Their order doesn't matter.
type SetEntries struct {
	Entries []catalog.Host
	// Era is that of the store in which they were read.
	Era uint64
}

// MachineInput marks SetEntries as an input.
func (SetEntries) MachineInput() {}

// EntriesRead reports that the current entries are the latest state of the store as of a
// read that was sent at Sent.
type EntriesRead struct {
	Sent machine.Instant
}

// MachineInput marks EntriesRead as an input.
func (EntriesRead) MachineInput() {}

// SetVersion sets the version of the configuration in force, and the last one that divides the
// limits in another way than the one before.
type SetVersion struct {
	InForce, Divides uint64
}

// MachineInput marks SetVersion as an input.
func (SetVersion) MachineInput() {}

// ConfigurationRead reports that the current configuration is the latest state of the store as
// of a read that was sent at Sent.
type ConfigurationRead struct {
	Sent machine.Instant
}

// MachineInput marks ConfigurationRead as an input.
func (ConfigurationRead) MachineInput() {}

// SetPeers sets the state of all hosts according to gossip, sorted by ID.
type SetPeers struct {
	Peers []gossip.Peer
}

// MachineInput marks SetPeers as an input.
func (SetPeers) MachineInput() {}

// ChangeKind is what a change does to an entry.
type ChangeKind string

// The kinds of changes.
const (
	// Suspect records that the holder is silent.
	Suspect ChangeKind = "suspect"
	// Refute removes a suspicion of this host.
	Refute ChangeKind = "refute"
	// TakeOver makes this host the holder.
	TakeOver ChangeKind = "take-over"
	// Reclaim asks the holder to give the part of this host back.
	Reclaim ChangeKind = "reclaim"
	// Release gives a part back to its owner.
	Release ChangeKind = "release"
)

// Change is a change of an entry that this host should write.
type Change struct {
	Kind ChangeKind
	// Owner is the host whose entry it is, Revision the one that the change replaces.
	Owner    fleet.HostID
	Revision uint64
}

// Apply returns an entry with the change, written by a host.
func (c Change) Apply(e catalog.Host, by fleet.HostID) catalog.Host {
	switch c.Kind {
	case Suspect:
		e.SuspectedBy = by
	case Refute:
		e.SuspectedBy = ""
	case TakeOver:
		e.HeldBy, e.SuspectedBy, e.Reclaimed = by, "", false
		if by == e.ID {
			e.HeldBy = ""
		}
	case Reclaim:
		e.Reclaimed = true
	case Release:
		e.HeldBy, e.SuspectedBy, e.Reclaimed = "", "", false
	}
	return e
}

// State is the output when one of its fields has changed.
type State struct {
	// Era is that of the store in which the entries were read.
	Era uint64
	// ValidUntil is when the lease ends.
	ValidUntil machine.Instant
	// SharesFrom is from when this host may use larger parts than before. A process that has
	// just started doesn't know whether the store has just come back from an older copy.
	SharesFrom machine.Instant
	// Changes are the changes of entries that this host should write now.
	Changes []Change
}

// MachineOutput marks State as an output.
func (State) MachineOutput() {}
