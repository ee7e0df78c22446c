package operations

import (
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// readWindow is the number of segments read in parallel.
const readWindow = 16

// logReader reads the claim log of another owner up to its end.
type logReader struct {
	m     *Machine
	owner fleet.Incarnation
	seal  bool
	done  []func(records []record, intact bool)

	head       storedObject
	parsedHead logHead
	intact     bool
	last       map[traffic.OperationID]record
	order      []traffic.OperationID
	attempts   int
}

// readLog passes the last record of each id in a log to done. With seal, it also
// seals the log so that the owner can't write to it any more; concurrent calls
// for the same log then share one reader.
func (m *Machine) readLog(owner fleet.Incarnation, seal bool, done func(records []record, intact bool)) {
	if seal {
		if r := m.sealing[owner]; r != nil {
			r.done = append(r.done, done)
			return
		}
	}
	r := &logReader{m: m, owner: owner, seal: seal, done: []func([]record, bool){done}}
	if seal {
		m.sealing[owner] = r
	}
	r.start()
}

func (r *logReader) start() {
	r.intact = true
	r.last = map[traffic.OperationID]record{}
	r.order = nil
	r.attempts++
	r.m.store.read(headKey(r.owner), func(head storedObject) {
		r.head = head
		r.parsedHead = logHead{}
		if head.Version > 0 {
			if err := decodeObject(headKey(r.owner), head.Value, &r.parsedHead); err != nil {
				r.reportDamage(err)
			}
		}
		r.readKept()
	})
}

func (r *logReader) reportDamage(err error) {
	r.intact = false
	r.m.event("claim-log-error", r.owner.String(), err.Error())
}

// readKept reads the segments listed in the head's Kept.
func (r *logReader) readKept() {
	r.fetch(r.parsedHead.Kept, func(objects []storedObject) {
		for i, o := range objects {
			if o.Version == 0 {
				// The owner has written a newer head and removed the segment.
				r.start()
				return
			}
			r.addSegment(r.parsedHead.Kept[i], o)
		}
		r.readFrom(r.parsedHead.Low)
	})
}

// fetch reads segments, at most readWindow in parallel.
func (r *logReader) fetch(numbers []uint64, done func([]storedObject)) {
	objects := make([]storedObject, len(numbers))
	var window func(from int)
	window = func(from int) {
		if from >= len(numbers) {
			done(objects)
			return
		}
		to := min(from+readWindow, len(numbers))
		pending := to - from
		for i := from; i < to; i++ {
			r.m.store.read(segmentKey(r.owner, numbers[i]), func(o storedObject) {
				objects[i] = o
				pending--
				if pending == 0 {
					window(to)
				}
			})
		}
	}
	window(0)
}

// readFrom reads segments starting at number until one is missing.
func (r *logReader) readFrom(number uint64) {
	numbers := make([]uint64, readWindow)
	for i := range numbers {
		numbers[i] = number + uint64(i)
	}
	r.fetch(numbers, func(objects []storedObject) {
		for i, o := range objects {
			if o.Version == 0 {
				r.checkEnd(numbers[i])
				return
			}
			if r.addSegment(numbers[i], o) {
				r.finish()
				return
			}
		}
		r.readFrom(number + readWindow)
	})
}

// addSegment adds the records of a segment and reports whether it seals the log.
func (r *logReader) addSegment(number uint64, o storedObject) bool {
	s, err := decodeSegment(segmentKey(r.owner, number), o.Value)
	if err != nil {
		r.reportDamage(err)
		return false
	}
	for _, record := range s.Records {
		if _, known := r.last[record.ID]; !known {
			r.order = append(r.order, record.ID)
		}
		r.last[record.ID] = record
	}
	return !s.Sealer.IsZero()
}

// checkEnd distinguishes the end of the log from a segment that was removed: the
// owner removes segments only after a newer head is in the store.
func (r *logReader) checkEnd(number uint64) {
	r.m.store.read(headKey(r.owner), func(head storedObject) {
		switch {
		case head.Version != r.head.Version:
			r.start()
		case r.seal:
			r.sealAt(number)
		default:
			r.finish()
		}
	})
}

// sealAt creates the next segment of the log, so that the owner's next write
// fails.
func (r *logReader) sealAt(number uint64) {
	s := segment{Owner: r.owner, Number: number, Sealer: r.m.o.Self.Incarnation}
	r.m.store.write(segmentKey(r.owner, number), 0, encodeObject(s), func(current storedObject, written bool) {
		switch {
		case written || r.addSegment(number, current):
			r.finish()
		default:
			r.checkEnd(number + 1)
		}
	})
}

func (r *logReader) finish() {
	delete(r.m.sealing, r.owner)
	records := make([]record, 0, len(r.order))
	for _, id := range r.order {
		records = append(records, r.last[id])
	}
	for _, done := range r.done {
		done(slices.Clone(records), r.intact)
	}
}
