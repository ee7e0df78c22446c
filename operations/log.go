package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// Rate limit and batch limits of the claim log.
const (
	// writeInterval is the mean time between the writes of a busy owner and
	// writeBurst the number of writes that may follow without delay. Twelve busy
	// owners then make 300 writes a second, which the store sustains.
	writeInterval = 40 * time.Millisecond
	writeBurst    = 8
	// backgroundBytes limits the imports and rewrites in a batch, so that they
	// delay new claims little.
	backgroundBytes = 128 << 10
)

// claimLog is the log of one owner incarnation: a sequence of numbered segments,
// of which one at a time is being written.
type claimLog struct {
	m      *Machine
	next   uint64
	sealed bool
	// queue holds entries with a new state, background holds rewrites and imports.
	queue      []logItem
	background []logItem
	inFlight   *batch
	// pacedUntil is the time up to which the write rate limit is used up.
	pacedUntil machine.Instant

	segments   []*logSegment
	small      int
	head       storedObject
	compacting bool
}

// logItem is an entry to write, or a function to call once all items before it
// are written.
type logItem struct {
	e    *entry
	done func()
}

// batch is a segment write in flight.
type batch struct {
	started machine.Instant
	number  uint64
	bytes   int
	written []writtenEntry
	seen    map[*entry]bool
	done    []func()
}

type writtenEntry struct {
	e            *entry
	stateVersion uint32
}

// logSegment describes a stored segment of this owner's log.
type logSegment struct {
	number  uint64
	version uint64
	bytes   int
	entries []*entry
}

func newClaimLog(m *Machine) claimLog {
	return claimLog{m: m}
}

// append queues the new state of an entry, with the current epoch.
func (l *claimLog) append(e *entry) {
	e.Epoch = l.m.partitions[e.partition].epoch
	e.durable = false
	e.stateVersion++
	if e.queued {
		return
	}
	e.queued = true
	l.queue = append(l.queue, logItem{e: e})
}

// rewrite queues an entry without a change of its state.
func (l *claimLog) rewrite(e *entry) {
	l.background = append(l.background, logItem{e: e})
}

// barrier calls done once all rewrites queued before it are in the log.
func (l *claimLog) barrier(done func()) {
	l.background = append(l.background, logItem{done: done})
}

// write starts a batch if none is in flight and something is queued.
func (l *claimLog) write() {
	idle := len(l.queue) == 0 && len(l.background) == 0
	if l.sealed || l.inFlight != nil || idle || !l.mayWrite() {
		return
	}
	b := &batch{number: l.next, started: l.m.now.Instant, seen: map[*entry]bool{}}
	s := &segment{Owner: l.m.o.Self.Incarnation, Number: b.number}
	l.queue = l.fill(b, s, l.queue, maxSegmentBytes-backgroundBytes)
	l.background = l.fill(b, s, l.background, b.bytes+backgroundBytes)
	if len(s.Records) == 0 {
		for _, done := range b.done {
			done()
		}
		return
	}
	l.inFlight = b
	l.pacedUntil = max(l.pacedUntil, l.m.now.Instant).Add(writeInterval)
	value := encodeObject(s)
	b.bytes = len(value)
	l.m.store.write(segmentKey(s.Owner, s.Number), 0, value, func(current storedObject, written bool) {
		l.inFlight = nil
		if !written {
			l.sealed = true
			l.m.event("claim-log-sealed", l.m.o.Self.String(), "another host has taken over the claims of this one")
			return
		}
		l.onCommit(b, current.Version)
	})
}

// mayWrite applies the rate limit and reserves half of the burst for waiting claims.
func (l *claimLog) mayWrite() bool {
	allowance := writeInterval * writeBurst
	if len(l.m.mode.waiting) == 0 {
		allowance /= 2
	}
	return l.pacedUntil.Sub(l.m.now.Instant) <= allowance
}

// fill adds items to the batch up to limit bytes and returns the rest.
func (l *claimLog) fill(b *batch, s *segment, items []logItem, limit int) []logItem {
	for i, item := range items {
		if item.done != nil {
			b.done = append(b.done, item.done)
			continue
		}
		e := item.e
		if b.seen[e] {
			e.queued = false
			continue
		}
		if b.bytes > 0 && b.bytes+e.size() > limit || len(s.Records) >= maxSegmentRecords {
			return append([]logItem(nil), items[i:]...)
		}
		e.queued = false
		if !l.m.table.holds(e) {
			l.m.mode.forget(e)
			continue
		}
		b.seen[e] = true
		b.bytes += e.size()
		b.written = append(b.written, writtenEntry{e: e, stateVersion: e.stateVersion})
		s.Records = append(s.Records, e.record)
	}
	return nil
}

// onCommit records that a batch is in the store and answers the waiting requests.
func (l *claimLog) onCommit(b *batch, version uint64) {
	l.next++
	s := &logSegment{number: b.number, version: version, bytes: b.bytes}
	for _, w := range b.written {
		w.e.segment = b.number + 1
		s.entries = append(s.entries, w.e)
	}
	l.segments = append(l.segments, s)
	if s.bytes < smallSegmentBytes {
		l.small++
	}
	l.m.mode.onCommit(l.m.now.Instant.Sub(b.started))
	for _, w := range b.written {
		if w.e.stateVersion != w.stateVersion {
			continue
		}
		w.e.durable = true
		l.m.entryCommitted(w.e)
	}
	for _, done := range b.done {
		done()
	}
	l.m.mode.tryReturnToCommitted()
}

// entryCommitted answers the requests that wait for the entry to be durable.
func (m *Machine) entryCommitted(e *entry) {
	if !m.partitions[e.partition].anchored {
		return
	}
	m.mode.onResolved(e)
	if e.State == stateRunning && !e.granted && e.acceptedHere {
		m.grant(e)
	}
	if e.reporter != nil {
		m.sendReportAnswer(e.reporter.from, e.reporter.attempt, true)
		e.reporter = nil
	}
}
