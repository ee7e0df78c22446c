package operations

import (
	"bytes"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// Limits of the backoff between retries of a store call.
const (
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = time.Second
)

// storedObject is the content of a store object; Version is 0 if it is absent.
type storedObject struct {
	Value   []byte
	Version uint64
}

// storeClient retries store calls until their effect is known.
type storeClient struct {
	m       *Machine
	next    uint64
	pending map[uint64]func(machine.StoreResult)
	timers  []timer
}

type timer struct {
	at   machine.Instant
	call func()
}

func (s *storeClient) call(c machine.StoreCall, done func(machine.StoreResult)) {
	s.next++
	c.ID = s.next
	s.pending[c.ID] = done
	s.m.emit(c)
}

func (s *storeClient) result(in machine.StoreResult) {
	done := s.pending[in.ID]
	delete(s.pending, in.ID)
	if done != nil {
		done(in)
	}
}

// after calls f on the first tick after d.
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

// read retries until the store answers and passes the object to done.
func (s *storeClient) read(key machine.StoreKey, done func(storedObject)) {
	s.readAfter(key, 0, done)
}

func (s *storeClient) readAfter(key machine.StoreKey, backoff time.Duration, done func(storedObject)) {
	s.call(machine.StoreCall{Op: machine.StoreGet, Key: key}, func(r machine.StoreResult) {
		switch r.Outcome {
		case machine.StoreOK:
			done(storedObject{Value: r.Value, Version: r.Version})
		case machine.StoreNotFound:
			done(storedObject{})
		default:
			wait := nextBackoff(backoff)
			s.after(wait, func() { s.readAfter(key, wait, done) })
		}
	})
}

// write is a compare-and-swap: it sets the object to value if it has the expected
// version, 0 for absent. Once the effect is certain, it passes the stored object to
// done; written is false if another writer changed the object. A retry after a
// lost answer writes the same bytes under the same condition, so that a delayed
// first write and its retry have one effect. The value must be unique to its writer.
func (s *storeClient) write(key machine.StoreKey, version uint64, value []byte, done func(current storedObject, written bool)) {
	s.writeAfter(key, version, value, 0, done)
}

func (s *storeClient) writeAfter(key machine.StoreKey, version uint64, value []byte, backoff time.Duration, done func(storedObject, bool)) {
	c := machine.StoreCall{Op: machine.StoreCreate, Key: key, Value: value}
	if version > 0 {
		c.Op = machine.StoreUpdate
		c.Version = version
	}
	s.call(c, func(r machine.StoreResult) {
		if r.Outcome == machine.StoreOK {
			done(storedObject{Value: value, Version: r.Version}, true)
			return
		}
		s.read(key, func(current storedObject) {
			switch {
			case current.Version > 0 && bytes.Equal(current.Value, value):
				done(current, true)
			case current.Version == version:
				wait := nextBackoff(backoff)
				s.after(wait, func() { s.writeAfter(key, version, value, wait, done) })
			default:
				done(current, false)
			}
		})
	})
}

// remove deletes an object without retries: one that remains is harmless garbage.
func (s *storeClient) remove(key machine.StoreKey, version uint64, done func()) {
	s.call(machine.StoreCall{Op: machine.StoreDelete, Key: key, Version: version}, func(machine.StoreResult) { done() })
}
