package configuration

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// ApplyNote asks for a release note to be accepted. It is answered by exactly
// one NoteResult.
type ApplyNote struct {
	RequestID uint64
	Note      *Note
}

// MachineInput marks ApplyNote as an input.
func (ApplyNote) MachineInput() {}

// PeerRevision says that a host has a revision, as its heartbeat told.
type PeerRevision struct {
	Revision fleet.Revision
	Host     fleet.HostID
}

// MachineInput marks PeerRevision as an input.
func (PeerRevision) MachineInput() {}

// HeadChanged says that the head may have changed in the store. The watch loop
// of the host sends it.
type HeadChanged struct{}

// MachineInput marks HeadChanged as an input.
func (HeadChanged) MachineInput() {}

// HeadRead carries a read of the head that the host made together with a read of
// the roster, see the README.
type HeadRead struct {
	Result machine.StoreResult
}

// MachineInput marks HeadRead as an input.
func (HeadRead) MachineInput() {}

// NoteResult answers ApplyNote.
type NoteResult struct {
	RequestID uint64
	// Revision is the revision that the note became; 0 if Err is set.
	Revision fleet.Revision
	// Repeated is true if the note was accepted before.
	Repeated bool
	// Changes lists what the note changed; empty if it was repeated.
	Changes []Change
	// Err is one of the error types of this package. All of them say that the
	// note was not accepted, except *UndecidedError.
	Err error
}

// MachineOutput marks NoteResult as an output.
func (NoteResult) MachineOutput() {}

// KeySet is an immutable set of key ids.
type KeySet map[string]struct{}

// Has reports whether a key id is in the set.
func (s KeySet) Has(id string) bool {
	_, ok := s[id]
	return ok
}

// Published carries what traffic must use from now on.
type Published struct {
	// Snapshot is nil while the host has no configuration.
	Snapshot *Snapshot
	// Suspended holds the keys of announced withdrawals that aren't resolved.
	// Requests with them are refused not-run.
	Suspended KeySet
}

// MachineOutput marks Published as an output.
func (Published) MachineOutput() {}
