package operations

import (
	"slices"
)

const (
	// smallSegmentBytes is the size below which segments are merged.
	smallSegmentBytes = 64 << 10
	// cleanAfter is the number of small segments at which the oldest cleanMerge
	// of them are merged. Merging many at once keeps the writes for it few: at
	// least one batch and one head for 96 segments.
	cleanAfter = 128
	cleanMerge = 96
	// cleanLive is the part of its entries, one in so many, below which a large
	// segment is merged too.
	cleanLive = 4
	// parallelRemovals bounds the deletions that are open at once.
	parallelRemovals = 4
)

// clean merges old segments: the entries whose last record is in one of them
// are written again, then a head without the segments, then these are deleted.
func (l *claimLog) clean() {
	if l.cleaning || l.sealed || l.small < cleanAfter || l.m.mode.state != modeCommitted {
		return
	}
	l.cleaning = true
	chosen := map[*logSegment]bool{}
	for _, s := range l.segments {
		live := l.live(s)
		merge := s.bytes < smallSegmentBytes && len(chosen) < cleanMerge
		if !merge && len(live)*cleanLive >= len(s.entries) {
			continue
		}
		chosen[s] = true
		for _, e := range live {
			l.rewrite(e)
		}
	}
	l.barrier(func() { l.dropSegments(chosen) })
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
func (l *claimLog) dropSegments(chosen map[*logSegment]bool) {
	var dropped []*logSegment
	l.segments = slices.DeleteFunc(l.segments, func(s *logSegment) bool {
		if !chosen[s] {
			return false
		}
		if s.bytes < smallSegmentBytes {
			l.small--
		}
		dropped = append(dropped, s)
		return true
	})
	value := encodeObject(l.newHead())
	l.m.store.write(headKey(l.m.o.Self.Incarnation), l.head.Version, value, func(held stored, ours bool) {
		if !ours {
			l.sealed = true
			return
		}
		l.head = held
		l.remove(dropped)
	})
}

// newHead names the segments that are left.
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

// remove deletes segments, parallelRemovals at a time.
func (l *claimLog) remove(segments []*logSegment) {
	if len(segments) == 0 {
		l.cleaning = false
		return
	}
	n := min(parallelRemovals, len(segments))
	open := n
	for _, s := range segments[:n] {
		l.m.store.remove(segmentKey(l.m.o.Self.Incarnation, s.number), s.version, func() {
			open--
			if open == 0 {
				l.remove(segments[n:])
			}
		})
	}
}
