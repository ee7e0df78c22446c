package faulttest

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// storeTimeout is how long a node waits for an answer of the store.
const storeTimeout = 2 * time.Second

// Store is a fake object store with versions and conditional updates.
type Store struct {
	// Latency is the one-way delay of a call.
	Latency time.Duration
	// Calls counts the calls that reached the store.
	Calls int

	rig           *Rig
	objects       map[machine.StoreKey]storedObject
	version       uint64
	down          bool
	disconnected  map[fleet.HostID]bool
	answersToLose int
}

type storedObject struct {
	version uint64
	value   []byte
}

func newStore(r *Rig) *Store {
	return &Store{
		Latency:      5 * time.Millisecond,
		rig:          r,
		objects:      map[machine.StoreKey]storedObject{},
		disconnected: map[fleet.HostID]bool{},
	}
}

// SetDown starts or ends an outage. Calls in an outage change nothing.
func (s *Store) SetDown(down bool) { s.down = down }

// SetHostCut disconnects a host from the store, or reconnects it.
func (s *Store) SetHostCut(id fleet.HostID, disconnected bool) { s.disconnected[id] = disconnected }

// LoseAnswers loses the answers of the next n calls, which still take effect.
func (s *Store) LoseAnswers(n int) { s.answersToLose += n }

// Read returns the value and version of an object; version 0 if it is absent.
func (s *Store) Read(key machine.StoreKey) ([]byte, uint64) {
	o := s.objects[key]
	return o.value, o.version
}

// Write sets an object unconditionally and returns its version.
func (s *Store) Write(key machine.StoreKey, value []byte) uint64 {
	s.version++
	s.objects[key] = storedObject{version: s.version, value: append([]byte(nil), value...)}
	return s.version
}

// Snapshot returns the values of all objects, for Restore.
func (s *Store) Snapshot() map[machine.StoreKey][]byte {
	snapshot := make(map[machine.StoreKey][]byte, len(s.objects))
	for key, o := range s.objects {
		snapshot[key] = o.value
	}
	return snapshot
}

// Restore replaces all objects by those of a snapshot, as restoring a backup does.
func (s *Store) Restore(snapshot map[machine.StoreKey][]byte) {
	s.objects = map[machine.StoreKey]storedObject{}
	for key, value := range snapshot {
		s.Write(key, value)
	}
}

func (s *Store) call(n *Node, c machine.StoreCall) {
	started := n.Time().Instant
	r := s.rig
	r.schedule(s.Latency+r.jitter(), delivery{call: func() {
		if s.down || s.disconnected[n.Member.Host] {
			s.answer(n, storeTimeout, machine.StoreResult{ID: c.ID, Outcome: machine.StoreUnknown, Started: started})
			return
		}
		s.Calls++
		result := s.apply(c)
		result.Started = started
		if s.answersToLose > 0 {
			s.answersToLose--
			s.answer(n, storeTimeout, machine.StoreResult{ID: c.ID, Outcome: machine.StoreUnknown, Started: started})
			return
		}
		s.answer(n, s.Latency+r.jitter(), result)
	}})
}

func (s *Store) answer(n *Node, after time.Duration, result machine.StoreResult) {
	s.rig.schedule(after, delivery{node: n, input: result})
}

func (s *Store) apply(c machine.StoreCall) machine.StoreResult {
	current, exists := s.objects[c.Key]
	switch {
	case c.Op == machine.StoreGet && exists:
		value := append([]byte(nil), current.value...)
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreOK, Version: current.version, Value: value}
	case c.Op == machine.StoreCreate && !exists:
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreOK, Version: s.Write(c.Key, c.Value)}
	case c.Op == machine.StoreUpdate && exists && current.version == c.Version:
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreOK, Version: s.Write(c.Key, c.Value)}
	case c.Op == machine.StoreDelete && exists && current.version == c.Version:
		delete(s.objects, c.Key)
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreOK}
	case !exists:
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreNotFound}
	default:
		return machine.StoreResult{ID: c.ID, Outcome: machine.StoreConflict, Version: current.version}
	}
}
