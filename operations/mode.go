package operations

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

const (
	// storeUnavailableAfter is how long a claim may wait without any confirmed
	// commit before the store counts as unavailable. It is seven times a round
	// trip of 70 ms between two regions and well below a caller's timeout.
	storeUnavailableAfter = 500 * time.Millisecond
	// storeUsableWithin is the commit duration up to which the store counts as
	// usable again. It is half of storeUnavailableAfter, so that a store near the
	// limit does not change the mode with each commit.
	storeUsableWithin = storeUnavailableAfter / 2
)

type modeState uint8

const (
	// modeCommitted grants only claims that are in the log.
	modeCommitted modeState = iota
	// modeDeclared waits for a majority to acknowledge uncommitted mode.
	modeDeclared
	// modeUncommitted grants claims from memory.
	modeUncommitted
	// modeRecovering grants only claims that are in the log, while the claims that
	// were granted from memory are being written.
	modeRecovering
)

// commitMode decides whether claims are granted from the log or from memory.
type commitMode struct {
	m     *Machine
	state modeState
	since machine.Instant
	// waiting holds the claims that are neither granted nor in the log.
	waiting      map[*entry]struct{}
	waitingSince machine.Instant
	lastCommit   machine.Instant
	// uncommitted holds the granted entries whose current state is not in the log.
	uncommitted map[*entry]struct{}
}

func newCommitMode(m *Machine) commitMode {
	return commitMode{m: m, waiting: map[*entry]struct{}{}, uncommitted: map[*entry]struct{}{}}
}

// awaitCommit adds a claim that waits for a commit.
func (c *commitMode) awaitCommit(e *entry) {
	if len(c.waiting) == 0 {
		c.waitingSince = c.m.now.Instant
	}
	c.waiting[e] = struct{}{}
	e.acceptedHere = true
}

// granted records that a claim was granted.
func (c *commitMode) granted(e *entry) {
	delete(c.waiting, e)
	if !c.m.isDurable(e) {
		c.uncommitted[e] = struct{}{}
	}
}

// onResolved records that an entry is durable or that its attempt ended. An entry
// that is not durable stays in uncommitted.
func (c *commitMode) onResolved(e *entry) {
	delete(c.waiting, e)
	if c.m.isDurable(e) {
		delete(c.uncommitted, e)
	}
}

// forget removes an entry that is no longer in the table.
func (c *commitMode) forget(e *entry) {
	delete(c.waiting, e)
	delete(c.uncommitted, e)
}

// forgetPartition removes the waiting claims of a partition that has moved away.
func (c *commitMode) forgetPartition(partition int) {
	for e := range c.waiting {
		if int(e.partition) == partition {
			delete(c.waiting, e)
		}
	}
}

func (c *commitMode) grantsFromMemory() bool { return c.state == modeUncommitted }

// tick announces uncommitted mode if no commit was confirmed for too long.
func (c *commitMode) tick() {
	c.tryReturnToCommitted()
	stalled := len(c.waiting) > 0 && c.m.now.Instant.Sub(max(c.waitingSince, c.lastCommit)) >= storeUnavailableAfter
	if !stalled || c.m.log.sealed || !c.m.leaseValid() {
		return
	}
	switch c.state {
	case modeCommitted:
		c.state = modeDeclared
		c.since = c.m.now.Instant
		c.m.emit(DeclareUncommitted{Since: c.since})
	case modeRecovering:
		// The announcement is still in force.
		c.enterUncommitted()
	}
}

// onAcknowledged enters uncommitted mode after a majority has acknowledged it.
func (c *commitMode) onAcknowledged(since machine.Instant) {
	if c.state != modeDeclared || since != c.since {
		return
	}
	c.m.event("operations-uncommitted", c.m.o.Self.String(), "the store does not answer; claims are granted from memory")
	c.enterUncommitted()
}

func (c *commitMode) enterUncommitted() {
	c.state = modeUncommitted
	for _, e := range slices.SortedFunc(maps.Keys(c.waiting), compareEntries) {
		c.m.grant(e)
	}
}

// onCommit records a confirmed commit and its duration.
func (c *commitMode) onCommit(duration time.Duration) {
	c.lastCommit = c.m.now.Instant
	idle := len(c.m.log.queue) == 0
	if c.state == modeUncommitted && (duration <= storeUsableWithin || idle) {
		c.state = modeRecovering
	}
	if c.state == modeDeclared && duration <= storeUsableWithin {
		c.state = modeRecovering
	}
}

// tryReturnToCommitted ends uncommitted mode once every granted claim is durable.
func (c *commitMode) tryReturnToCommitted() {
	done := len(c.uncommitted) == 0 && c.m.allAnchored()
	noLongerStalled := c.state == modeDeclared && len(c.waiting) == 0
	if c.state != modeRecovering && !noLongerStalled || !done {
		return
	}
	c.state = modeCommitted
	c.m.emit(ClearUncommitted{})
	c.m.event("operations-committed", c.m.o.Self.String(), "every claim is in the store")
}
