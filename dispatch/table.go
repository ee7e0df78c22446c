package dispatch

import (
	"slices"
	"sync/atomic"
)

// Table is the traffic side of the quarantine. The state machine publishes to it;
// any goroutine may read it. A nil Table is empty.
type Table struct {
	entries atomic.Pointer[map[uint64]bool]
}

// Quarantined reports whether requests with a fingerprint must be refused.
func (t *Table) Quarantined(fingerprint uint64) bool {
	return t.load()[fingerprint]
}

// Suspected reports whether the fingerprint is suspected or quarantined, so that
// its success must be reported.
func (t *Table) Suspected(fingerprint uint64) bool {
	_, ok := t.load()[fingerprint]
	return ok
}

// Fingerprints returns the quarantined fingerprints, sorted.
func (t *Table) Fingerprints() []uint64 {
	var list []uint64
	for fingerprint, quarantined := range t.load() {
		if quarantined {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	return list
}

func (t *Table) load() map[uint64]bool {
	if t == nil {
		return nil
	}
	entries := t.entries.Load()
	if entries == nil {
		return nil
	}
	return *entries
}

// publish replaces the entries. They map suspected fingerprints to whether they are
// quarantined. The map must not be changed afterwards.
func (t *Table) publish(entries map[uint64]bool) {
	if t != nil {
		t.entries.Store(&entries)
	}
}
