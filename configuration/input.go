package configuration

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// ApplyNote requests that a release note be accepted. It is answered by exactly
// one NoteResult.
type ApplyNote struct {
	RequestID uint64
	Note      *Note
}

// MachineInput marks ApplyNote as an input.
func (ApplyNote) MachineInput() {}

// PeerRevision reports the revision of another host, taken from its heartbeat.
type PeerRevision struct {
	Revision fleet.Revision
	Host     fleet.HostID
}

// MachineInput marks PeerRevision as an input.
func (PeerRevision) MachineInput() {}

// HeadChanged reports that the head in the store may have changed. The host's
// watch loop sends it.
type HeadChanged struct{}

// MachineInput marks HeadChanged as an input.
func (HeadChanged) MachineInput() {}

// HeadRead carries the result of a read of the head that the host made together
// with a read of the roster; see the README.
type HeadRead struct {
	Result machine.StoreResult
}

// MachineInput marks HeadRead as an input.
func (HeadRead) MachineInput() {}

// NoteResult answers ApplyNote.
type NoteResult struct {
	RequestID uint64
	// Revision is the revision that the note created; 0 if Err is set.
	Revision fleet.Revision
	// Repeated is true if the note had already been accepted.
	Repeated bool
	// Changes lists what the note changed; empty if it was repeated.
	Changes []Change
	// Err is one of the error types of this package. All of them mean that the note
	// was not accepted, except *UndecidedError.
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

// Published carries the configuration that request handling uses from now on.
type Published struct {
	// Snapshot is nil while the host has no configuration.
	Snapshot *Snapshot
	// Suspended holds the ids of keys whose withdrawal is announced and not yet
	// resolved. Requests with these keys are refused as not-run.
	Suspended KeySet
}

// MachineOutput marks Published as an output.
func (Published) MachineOutput() {}
