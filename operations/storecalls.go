package operations

import (
	"bytes"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// Bounds of the wait before a store call is repeated.
const (
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = time.Second
)

// stored is an object as the store holds it; Version 0 if it is absent.
type stored struct {
	Value   []byte
	Version uint64
}

// storeClient repeats store calls until their effect is known.
type storeClient struct {
	m      *Machine
	next   uint64
	open   map[uint64]func(machine.StoreResult)
	timers []timer
}

type timer struct {
	at   machine.Instant
	call func()
}

func (s *storeClient) call(c machine.StoreCall, done func(machine.StoreResult)) {
	s.next++
	c.ID = s.next
	s.open[c.ID] = done
	s.m.emit(c)
}

func (s *storeClient) result(in machine.StoreResult) {
	done := s.open[in.ID]
	delete(s.open, in.ID)
	if done != nil {
		done(in)
	}
}

// after calls f with the first tick after d.
func (s *storeClient) after(d time.Duration, f func()) {
	s.timers = append(s.timers, timer{at: s.m.now.Instant.Add(d), call: f})
}

func (s *storeClient) tick() {
	due := s.timers
	s.timers = nil
	for _, t := range due {
		if t.at > s.m.now.Instant {
			s.timers = append(s.timers, t)
			continue
		}
		t.call()
	}
}

func nextBackoff(d time.Duration) time.Duration {
	return min(max(2*d, minStoreBackoff), maxStoreBackoff)
}

// read returns the object once the store has answered.
func (s *storeClient) read(key machine.StoreKey, done func(stored)) {
	s.readAfter(key, 0, done)
}

func (s *storeClient) readAfter(key machine.StoreKey, backoff time.Duration, done func(stored)) {
	s.call(machine.StoreCall{Op: machine.StoreGet, Key: key}, func(r machine.StoreResult) {
		switch r.Outcome {
		case machine.StoreOK:
			done(stored{Value: r.Value, Version: r.Version})
		case machine.StoreNotFound:
			done(stored{})
		default:
			wait := nextBackoff(backoff)
			s.after(wait, func() { s.readAfter(key, wait, done) })
		}
	})
}

// write makes the object hold the value if it has the expected version, 0 for
// absent. It returns what the store holds once that is known for certain, which
// is the value unless somebody else wrote the object. A repeat after a lost
// answer writes the same bytes under the same condition, so that a late first
// write and its repeat have one effect. The value must be unique to its writer.
func (s *storeClient) write(key machine.StoreKey, version uint64, value []byte, done func(held stored, ours bool)) {
	s.writeAfter(key, version, value, 0, done)
}

func (s *storeClient) writeAfter(key machine.StoreKey, version uint64, value []byte, backoff time.Duration, done func(stored, bool)) {
	c := machine.StoreCall{Op: machine.StoreCreate, Key: key, Value: value}
	if version > 0 {
		c.Op = machine.StoreUpdate
		c.Version = version
	}
	s.call(c, func(r machine.StoreResult) {
		if r.Outcome == machine.StoreOK {
			done(stored{Value: value, Version: r.Version}, true)
			return
		}
		s.read(key, func(held stored) {
			switch {
			case held.Version > 0 && bytes.Equal(held.Value, value):
				done(held, true)
			case held.Version == version:
				wait := nextBackoff(backoff)
				s.after(wait, func() { s.writeAfter(key, version, value, wait, done) })
			default:
				done(held, false)
			}
		})
	})
}

// remove deletes an object. Nothing depends on the success: an object that
// stays is garbage.
func (s *storeClient) remove(key machine.StoreKey, version uint64, done func()) {
	s.call(machine.StoreCall{Op: machine.StoreDelete, Key: key, Version: version}, func(machine.StoreResult) { done() })
}
