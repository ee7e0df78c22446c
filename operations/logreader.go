package operations

import (
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// readWindow is the number of segments that are read at once.
const readWindow = 16

// logReader reads the log of another owner to its end.
type logReader struct {
	m     *Machine
	owner fleet.Incarnation
	seal  bool
	done  []func(records []record, intact bool)

	head     stored
	parsed   logHead
	intact   bool
	last     map[traffic.OperationID]record
	order    []traffic.OperationID
	attempts int
}

// readLog returns the last record of each id in a log. With seal, it first
// makes sure that the owner can't write to it any more; readers of the same
// sealed log share its calls.
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
	r.m.store.read(headKey(r.owner), func(head stored) {
		r.head = head
		r.parsed = logHead{}
		if head.Version > 0 {
			if err := decodeObject(headKey(r.owner), head.Value, &r.parsed); err != nil {
				r.damaged(err)
			}
		}
		r.readKept()
	})
}

func (r *logReader) damaged(err error) {
	r.intact = false
	r.m.event("claim-log-error", r.owner.String(), err.Error())
}

// readKept reads the segments that a head names one by one.
func (r *logReader) readKept() {
	r.fetch(r.parsed.Kept, func(objects []stored) {
		for i, o := range objects {
			if o.Version == 0 {
				// The owner removed it after it wrote a newer head.
				r.start()
				return
			}
			r.take(r.parsed.Kept[i], o)
		}
		r.readFrom(r.parsed.Low)
	})
}

// fetch reads segments, at most readWindow at once.
func (r *logReader) fetch(numbers []uint64, done func([]stored)) {
	objects := make([]stored, len(numbers))
	var window func(from int)
	window = func(from int) {
		if from >= len(numbers) {
			done(objects)
			return
		}
		to := min(from+readWindow, len(numbers))
		open := to - from
		for i := from; i < to; i++ {
			r.m.store.read(segmentKey(r.owner, numbers[i]), func(o stored) {
				objects[i] = o
				open--
				if open == 0 {
					window(to)
				}
			})
		}
	}
	window(0)
}

// readFrom reads the segments from a number on until one is missing.
func (r *logReader) readFrom(number uint64) {
	numbers := make([]uint64, readWindow)
	for i := range numbers {
		numbers[i] = number + uint64(i)
	}
	r.fetch(numbers, func(objects []stored) {
		for i, o := range objects {
			if o.Version == 0 {
				r.checkEnd(numbers[i])
				return
			}
			if r.take(numbers[i], o) {
				r.finish()
				return
			}
		}
		r.readFrom(number + readWindow)
	})
}

// take adds a segment and reports whether it ends the log.
func (r *logReader) take(number uint64, o stored) bool {
	s, err := decodeSegment(segmentKey(r.owner, number), o.Value)
	if err != nil {
		r.damaged(err)
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

// checkEnd makes sure that a missing segment is the end of the log and was not
// removed. The owner removes segments only after a newer head is in the store.
func (r *logReader) checkEnd(number uint64) {
	r.m.store.read(headKey(r.owner), func(head stored) {
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

// sealAt creates the next segment in place of the owner, whose next write then
// fails.
func (r *logReader) sealAt(number uint64) {
	s := segment{Owner: r.owner, Number: number, Sealer: r.m.o.Self.Incarnation}
	r.m.store.write(segmentKey(r.owner, number), 0, encodeObject(s), func(held stored, ours bool) {
		switch {
		case ours || r.take(number, held):
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
