package configuration

import (
	"fmt"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/jsonc"
)

// Problem is one error in a release note.
type Problem = jsonc.Problem

// NoteError reports all errors found in a release note. The note was not
// accepted.
type NoteError struct {
	NoteID string
	// Revision is the revision to which the note could not be applied; 0 if the
	// note itself is invalid.
	Revision fleet.Revision
	Problems []Problem
}

func (e *NoteError) Error() string {
	return fmt.Sprintf("release note %q: %d problems\n%s", e.NoteID, len(e.Problems), jsonc.Join(e.Problems))
}

// NoteReusedError reports that a note with the same id but other content was
// accepted before. The note was not accepted.
type NoteReusedError struct {
	NoteID   string
	Revision fleet.Revision
}

func (e *NoteReusedError) Error() string {
	return fmt.Sprintf("release note id %q was used for another note, accepted as revision %d; choose another id", e.NoteID, e.Revision)
}

// RacedError reports that another note was accepted first. The note was not
// accepted.
type RacedError struct {
	NoteID string
	// Revision is the revision that is in force instead.
	Revision fleet.Revision
	// Notes are the notes that were accepted in the meantime, oldest first.
	Notes []AcceptedNote
	// Both lists the items that both this note and those notes change.
	Both []Item
}

func (e *RacedError) Error() string {
	names := make([]string, 0, len(e.Notes))
	for _, n := range e.Notes {
		names = append(names, fmt.Sprintf("%q (revision %d)", n.ID, n.Revision))
	}
	both := "no item is touched by both"
	if len(e.Both) > 0 {
		items := make([]string, 0, len(e.Both))
		for _, item := range e.Both {
			items = append(items, item.String())
		}
		both = "touched by both: " + strings.Join(items, ", ")
	}
	return fmt.Sprintf("release note %q lost a race: revision is now %d by %s; %s; check and repeat",
		e.NoteID, e.Revision, strings.Join(names, ", "), both)
}

// MajorityError reports that too few hosts acknowledged the announcement of a
// note. The note was not accepted.
type MajorityError struct {
	Acknowledged, Needed int
}

func (e *MajorityError) Error() string {
	return fmt.Sprintf("a majority of hosts is unreachable: %d acknowledged the note, %d are needed", e.Acknowledged, e.Needed)
}

// StoreError reports that the store could not be used before the note's
// conditional update was sent, or that it refused the update. The note was not
// accepted.
type StoreError struct {
	Reason string
}

func (e *StoreError) Error() string { return "object store: " + e.Reason }

// BusyError reports that too many notes are queued on this host. The note was
// not accepted.
type BusyError struct {
	Waiting int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d release notes wait on this host; repeat later", e.Waiting)
}

// UndecidedError reports that the answer to the conditional update was lost and
// that its effect could not be determined from the store since. The note may have
// been accepted; sending the same note again returns the outcome.
type UndecidedError struct {
	NoteID string
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("release note %q may have been accepted: the store stopped answering; repeat the same note to learn", e.NoteID)
}

// ContentError reports a head or shard that cannot be decoded.
type ContentError struct {
	Object string
	Cause  error
}

func (e *ContentError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Object, e.Cause) }

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Cause }

// DigestError reports a shard whose content does not match its name.
type DigestError struct {
	Want, Got Digest
}

func (e *DigestError) Error() string { return fmt.Sprintf("shard %s has the digest %s", e.Want, e.Got) }
