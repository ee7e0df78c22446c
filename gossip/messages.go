package gossip

import (
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// digestMessageNumber is from the package's range 750 to 799.
const digestMessageNumber = 750

// Messages returns the package's message types for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Digest]()}
}

// Entry is the sender's state of one host.
type Entry struct {
	// Host is a hash of the host's ID.
	Host uint32
	// Incarnation is the encoded part of the incarnation; the rest is zero.
	Incarnation uint32
	// AgeMillis is the time since the host was last seen.
	AgeMillis uint32
	Leaving   bool
	// Rate is the arrival rate of requests at the host, in tenths per second.
	Rate uint32
}

// Digest is the sender's state of the fleet.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Entries Entries
	// Ask requests that the receiver replies with its own digest. Pushed digests alone
	// reach some hosts late by chance: in a fleet of 300, updates of other regions were
	// up to 5.5 s old.
	Ask bool
	// Revisions are the store revisions of the last changes that any host has seen,
	// one for each kind of objects that hosts watch.
	Revisions []uint64
}

// MessageNumber returns 750.
func (Digest) MessageNumber() uint16 { return digestMessageNumber }

// SetHosts sets the entry hosts that the store lists.
type SetHosts struct {
	Hosts []catalog.Host
	// Era is that of the store in which their entries were read.
	Era uint64
}

// MachineInput marks SetHosts as an input.
func (SetHosts) MachineInput() {}

// SetSelf sets the state of this host that it reports to the others.
type SetSelf struct {
	Leaving bool
	// Rate is in requests per second.
	Rate float64
	// Revisions are those of the last changes that this host has seen.
	Revisions []uint64
}

// MachineInput marks SetSelf as an input.
func (SetSelf) MachineInput() {}

// AnnounceSelf requests that the other hosts are notified of this incarnation. It is
// the first input from which on messages can be sent and received.
type AnnounceSelf struct{}

// MachineInput marks AnnounceSelf as an input.
func (AnnounceSelf) MachineInput() {}

// RevisionsObserved reports the revisions of changes of which all hosts are notified
// at once, because their watches may have missed them.
type RevisionsObserved struct {
	Revisions []uint64
}

// MachineInput marks RevisionsObserved as an input.
func (RevisionsObserved) MachineInput() {}

// Peer is the state of one entry host.
type Peer struct {
	catalog.Host
	// Member has the incarnation that was last received; zero if there is none.
	Member  fleet.Member
	Alive   bool
	Leaving bool
	// Rate is in requests per second; it is 0 for a host that is not alive.
	Rate float64
}

// Confirmed reports whether there has been a sign of life of the host since this
// process started.
func (p Peer) Confirmed() bool { return p.Member.Incarnation != fleet.Incarnation{} }

// PeersChanged is the output when peers or revisions have changed.
type PeersChanged struct {
	// Peers has all hosts, including this one, sorted by ID.
	Peers []Peer
	// Era is that of the store in which the peers' entries were read.
	Era uint64
	// Revisions are the highest that any host has reported.
	Revisions []uint64
	// Membership is true if the list of hosts, or the liveness, incarnation or leaving
	// state of one has changed.
	Membership bool
}

// MachineOutput marks PeersChanged as an output.
func (PeersChanged) MachineOutput() {}
