package operations

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

const (
	// storeAwayAfter is the time without a confirmed commit, while a claim waits
	// for one, after which the store counts as away. It is seven times a round
	// trip of 70 ms between two regions and well below a caller's patience.
	storeAwayAfter = 500 * time.Millisecond
	// storeBackWithin is the duration of a commit that shows that the store is
	// usable again. It is half of storeAwayAfter, so that a store at the limit
	// does not change the mode with each commit.
	storeBackWithin = storeAwayAfter / 2
)

type modeState uint8

const (
	// modeCommitted grants what is in the log.
	modeCommitted modeState = iota
	// modeDeclared waits for a majority to acknowledge the announcement.
	modeDeclared
	// modeUncommitted grants from memory.
	modeUncommitted
	// modeReturning grants what is in the log and writes the claims that were
	// granted from memory.
	modeReturning
)

// commitMode decides whether claims are granted from the log or from memory.
type commitMode struct {
	m     *Machine
	state modeState
	since machine.Instant
	// waiting are the claims that are neither granted nor in the log.
	waiting      map[*entry]struct{}
	waitingSince machine.Instant
	lastCommit   machine.Instant
	// memory are the entries that were granted and are not in the log as they are.
	memory map[*entry]struct{}
}

func newCommitMode(m *Machine) commitMode {
	return commitMode{m: m, waiting: map[*entry]struct{}{}, memory: map[*entry]struct{}{}}
}

// wanted notes a claim that waits for a commit.
func (c *commitMode) wanted(e *entry) {
	if len(c.waiting) == 0 {
		c.waitingSince = c.m.now.Instant
	}
	c.waiting[e] = struct{}{}
	e.fresh = true
}

// granted notes that a claim was granted.
func (c *commitMode) granted(e *entry) {
	delete(c.waiting, e)
	if !c.m.isDurable(e) {
		c.memory[e] = struct{}{}
	}
}

// settled notes that an entry is durable or that its attempt ended.
func (c *commitMode) settled(e *entry) {
	delete(c.waiting, e)
	if c.m.isDurable(e) {
		delete(c.memory, e)
	}
}

// forget drops an entry that is no longer in the table.
func (c *commitMode) forget(e *entry) {
	delete(c.waiting, e)
	delete(c.memory, e)
}

// forgetPartition drops the claims that wait in a partition that was given up.
func (c *commitMode) forgetPartition(partition int) {
	for e := range c.waiting {
		if int(e.partition) == partition {
			delete(c.waiting, e)
		}
	}
}

func (c *commitMode) grantsFromMemory() bool { return c.state == modeUncommitted }

// tick declares uncommitted mode if no commit was confirmed for too long.
func (c *commitMode) tick() {
	c.settle()
	stalled := len(c.waiting) > 0 && c.m.now.Instant.Sub(max(c.waitingSince, c.lastCommit)) >= storeAwayAfter
	if !stalled || c.m.log.sealed || !c.m.leaseValid() {
		return
	}
	switch c.state {
	case modeCommitted:
		c.state = modeDeclared
		c.since = c.m.now.Instant
		c.m.emit(DeclareUncommitted{Since: c.since})
	case modeReturning:
		// The announcement still stands.
		c.enter()
	}
}

// acknowledged starts to grant from memory.
func (c *commitMode) acknowledged(since machine.Instant) {
	if c.state != modeDeclared || since != c.since {
		return
	}
	c.m.event("operations-uncommitted", c.m.o.Self.String(), "the store does not answer; claims are granted from memory")
	c.enter()
}

func (c *commitMode) enter() {
	c.state = modeUncommitted
	for _, e := range slices.SortedFunc(maps.Keys(c.waiting), compareEntries) {
		c.m.grant(e)
	}
}

// committed notes that a commit was confirmed.
func (c *commitMode) committed(took time.Duration) {
	c.lastCommit = c.m.now.Instant
	idle := len(c.m.log.queue) == 0
	if c.state == modeUncommitted && (took <= storeBackWithin || idle) {
		c.state = modeReturning
	}
	if c.state == modeDeclared && took <= storeBackWithin {
		c.state = modeReturning
	}
}

// settle ends uncommitted mode once every claim that was granted is durable.
func (c *commitMode) settle() {
	done := len(c.memory) == 0 && c.m.allAnchored()
	stalledOnly := c.state == modeDeclared && len(c.waiting) == 0
	if c.state != modeReturning && !stalledOnly || !done {
		return
	}
	c.state = modeCommitted
	c.m.emit(ClearUncommitted{})
	c.m.event("operations-committed", c.m.o.Self.String(), "every claim is in the store")
}
