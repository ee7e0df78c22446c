package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// Pacing of the claim log.
const (
	// writeInterval is the mean time between the writes of a busy owner and
	// writeBurst the number that may come at once. Twelve busy owners then make
	// 300 writes a second, which the store takes.
	writeInterval = 40 * time.Millisecond
	writeBurst    = 8
	// backgroundBytes bounds what a batch holds beside new claims, so that
	// imports and rewrites delay them little.
	backgroundBytes = 128 << 10
)

// claimLog is the log of one owner incarnation: segments that are created one
// after another, with one write in flight.
type claimLog struct {
	m      *Machine
	next   uint64
	sealed bool
	// queue holds new states of ids, background the rewrites and imports.
	queue      []logItem
	background []logItem
	inFlight   *batch
	// paced is the instant up to which the allowance of writes is used.
	paced machine.Instant

	segments []*logSegment
	small    int
	head     stored
	cleaning bool
}

// logItem is an entry whose state is to be written, or a function that is
// called once everything before it is written.
type logItem struct {
	e    *entry
	done func()
}

// batch is the write in flight.
type batch struct {
	started machine.Instant
	number  uint64
	bytes   int
	written []writtenEntry
	seen    map[*entry]bool
	done    []func()
}

type writtenEntry struct {
	e      *entry
	change uint32
}

// logSegment is a segment of the own log.
type logSegment struct {
	number  uint64
	version uint64
	bytes   int
	entries []*entry
}

func newClaimLog(m *Machine) claimLog {
	return claimLog{m: m}
}

// append queues the new state of an entry under the present epoch.
func (l *claimLog) append(e *entry) {
	e.Epoch = l.m.partitions[e.partition].epoch
	e.durable = false
	e.change++
	if e.queued {
		return
	}
	e.queued = true
	l.queue = append(l.queue, logItem{e: e})
}

// rewrite queues an entry as it is.
func (l *claimLog) rewrite(e *entry) {
	l.background = append(l.background, logItem{e: e})
}

// barrier calls a function once the rewrites before it are in the log.
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
	l.paced = max(l.paced, l.m.now.Instant).Add(writeInterval)
	value := encodeObject(s)
	b.bytes = len(value)
	l.m.store.write(segmentKey(s.Owner, s.Number), 0, value, func(held stored, ours bool) {
		l.inFlight = nil
		if !ours {
			l.sealed = true
			l.m.event("claim-log-sealed", l.m.o.Self.String(), "another host has taken over the claims of this one")
			return
		}
		l.committed(b, held.Version)
	})
}

// mayWrite applies the pacing. Half of the burst is left to claims that wait.
func (l *claimLog) mayWrite() bool {
	allowance := writeInterval * writeBurst
	if len(l.m.mode.waiting) == 0 {
		allowance /= 2
	}
	return l.paced.Sub(l.m.now.Instant) <= allowance
}

// fill moves items into the batch up to a size and returns the others.
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
		b.written = append(b.written, writtenEntry{e: e, change: e.change})
		s.Records = append(s.Records, e.record)
	}
	return nil
}

// committed notes that a batch is in the store and answers those who waited.
func (l *claimLog) committed(b *batch, version uint64) {
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
	l.m.mode.committed(l.m.now.Instant.Sub(b.started))
	for _, w := range b.written {
		if w.e.change != w.change {
			continue
		}
		w.e.durable = true
		l.m.entryCommitted(w.e)
	}
	for _, done := range b.done {
		done()
	}
	l.m.mode.settle()
}

// entryCommitted answers the requests that waited for the entry to be durable.
func (m *Machine) entryCommitted(e *entry) {
	if !m.partitions[e.partition].anchored {
		return
	}
	m.mode.settled(e)
	if e.State == stateRunning && !e.granted && e.fresh {
		m.grant(e)
	}
	if e.reporter != nil {
		m.reportDone(e.reporter.from, e.reporter.attempt, true)
		e.reporter = nil
	}
}
