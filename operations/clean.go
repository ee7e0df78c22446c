package operations

import (
	"slices"
)

const (
	// smallSegmentBytes is the size below which a segment counts as small.
	smallSegmentBytes = 64 << 10
	// compactAfter is the number of small segments at which the oldest compactBatch
	// of them are compacted. Compacting many at once keeps the extra writes few:
	// at least one batch and one head for 96 segments.
	compactAfter = 128
	compactBatch = 96
	// compactLiveDivisor sets when a large segment is compacted too: when fewer than
	// one in compactLiveDivisor of its entries are live.
	compactLiveDivisor = 4
	// parallelRemovals is the maximum number of concurrent deletions.
	parallelRemovals = 4
)

// compact rewrites old segments: it writes their live entries again, then a head
// without the segments, and then deletes the segments.
func (l *claimLog) compact() {
	if l.compacting || l.sealed || l.small < compactAfter || l.m.mode.state != modeCommitted {
		return
	}
	l.compacting = true
	obsolete := map[*logSegment]bool{}
	for _, s := range l.segments {
		live := l.live(s)
		inBatch := s.bytes < smallSegmentBytes && len(obsolete) < compactBatch
		if !inBatch && len(live)*compactLiveDivisor >= len(s.entries) {
			continue
		}
		obsolete[s] = true
		for _, e := range live {
			l.rewrite(e)
		}
	}
	l.barrier(func() { l.dropSegments(obsolete) })
}

// live returns the entries whose last record is in the segment.
func (l *claimLog) live(s *logSegment) []*entry {
	var live []*entry
	for _, e := range s.entries {
		if e.segment == s.number+1 && l.m.table.holds(e) {
			live = append(live, e)
		}
	}
	return live
}

// dropSegments writes a head without the segments and deletes them.
func (l *claimLog) dropSegments(obsolete map[*logSegment]bool) {
	var dropped []*logSegment
	l.segments = slices.DeleteFunc(l.segments, func(s *logSegment) bool {
		if !obsolete[s] {
			return false
		}
		if s.bytes < smallSegmentBytes {
			l.small--
		}
		dropped = append(dropped, s)
		return true
	})
	value := encodeObject(l.newHead())
	l.m.store.write(headKey(l.m.o.Self.Incarnation), l.head.Version, value, func(current storedObject, written bool) {
		if !written {
			l.sealed = true
			return
		}
		l.head = current
		l.remove(dropped)
	})
}

// newHead returns a head that lists the remaining segments.
func (l *claimLog) newHead() logHead {
	h := logHead{Owner: l.m.o.Self.Incarnation, Low: l.next}
	for i := len(l.segments) - 1; i >= 0; i-- {
		number := l.segments[i].number
		if number+1 == h.Low && len(h.Kept) == 0 {
			h.Low = number
			continue
		}
		h.Kept = append(h.Kept, number)
	}
	slices.Reverse(h.Kept)
	return h
}

// remove deletes segments, parallelRemovals at a time, and ends the compaction.
func (l *claimLog) remove(segments []*logSegment) {
	if len(segments) == 0 {
		l.compacting = false
		return
	}
	n := min(parallelRemovals, len(segments))
	pending := n
	for _, s := range segments[:n] {
		l.m.store.remove(segmentKey(l.m.o.Self.Incarnation, s.number), s.version, func() {
			pending--
			if pending == 0 {
				l.remove(segments[n:])
			}
		})
	}
}
