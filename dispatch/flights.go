package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// crashWindow is the time within which broken exchanges with an upstream are
// attributed to one crash. A crash breaks all of them within a round trip.
const crashWindow = 2 * time.Second

// InFlightRequests holds the fingerprints in flight at each upstream.
type InFlightRequests struct {
	upstreams sync.Map // fleet.Upstream to *UpstreamInFlight
}

// UpstreamInFlight holds the fingerprints in flight at one upstream.
type UpstreamInFlight struct {
	mu     sync.Mutex
	active map[uint64]int
	broken []brokenRequest
}

type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// ForUpstream returns the requests in flight at an upstream.
func (f *InFlightRequests) ForUpstream(upstream fleet.Upstream) *UpstreamInFlight {
	if found, ok := f.upstreams.Load(upstream); ok {
		return found.(*UpstreamInFlight)
	}
	created, _ := f.upstreams.LoadOrStore(upstream, &UpstreamInFlight{active: map[uint64]int{}})
	return created.(*UpstreamInFlight)
}

// Add records a request that is about to be written.
func (f *UpstreamInFlight) Add(fingerprint uint64) {
	f.mu.Lock()
	f.active[fingerprint]++
	f.mu.Unlock()
}

// Remove records the end of an exchange.
func (f *UpstreamInFlight) Remove(fingerprint uint64) {
	f.mu.Lock()
	if f.active[fingerprint]--; f.active[fingerprint] <= 0 {
		delete(f.active, fingerprint)
	}
	f.mu.Unlock()
}

// RecordBroken records that the connection of a request broke during the exchange.
// The record is kept for crashWindow, so that Suspects returns it together with the
// requests that break later in the same crash.
func (f *UpstreamInFlight) RecordBroken(fingerprint uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = slices.DeleteFunc(f.broken, func(b brokenRequest) bool { return now.Sub(b.at) > crashWindow })
	f.broken = append(f.broken, brokenRequest{fingerprint: fingerprint, at: now})
}

// BrokeLately reports whether a connection broke within crashWindow, which makes the requests
// in flight suspects of a crash.
func (f *UpstreamInFlight) BrokeLately(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.broken, func(b brokenRequest) bool { return now.Sub(b.at) <= crashWindow })
}

// Suspects returns the distinct fingerprints that were in flight at a crash.
func (f *UpstreamInFlight) Suspects(now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []uint64
	for fingerprint := range f.active {
		suspects = append(suspects, fingerprint)
	}
	for _, b := range f.broken {
		if now.Sub(b.at) <= crashWindow {
			suspects = append(suspects, b.fingerprint)
		}
	}
	slices.Sort(suspects)
	return slices.Compact(suspects)
}
