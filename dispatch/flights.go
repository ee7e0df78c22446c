package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// crashWindow is the time in which broken exchanges with an upstream count as
// one crash. A crash breaks all of them within a round trip.
const crashWindow = 2 * time.Second

// Flights knows the fingerprints of the requests in flight at each upstream.
type InFlightRequests struct {
	upstreams sync.Map // fleet.Upstream to *Flight
}

// Flight knows the fingerprints in flight at one upstream.
type UpstreamInFlight struct {
	mu     sync.Mutex
	active map[uint64]int
	broken []brokenRequest
}

type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// Of returns what is in flight at an upstream.
func (f *InFlightRequests) ForUpstream(upstream fleet.Upstream) *UpstreamInFlight {
	if found, ok := f.upstreams.Load(upstream); ok {
		return found.(*UpstreamInFlight)
	}
	made, _ := f.upstreams.LoadOrStore(upstream, &UpstreamInFlight{active: map[uint64]int{}})
	return made.(*UpstreamInFlight)
}

// Enter notes a request that is about to be written.
func (f *UpstreamInFlight) Add(fingerprint uint64) {
	f.mu.Lock()
	f.active[fingerprint]++
	f.mu.Unlock()
}

// Leave notes the end of the exchange.
func (f *UpstreamInFlight) Remove(fingerprint uint64) {
	f.mu.Lock()
	if f.active[fingerprint]--; f.active[fingerprint] <= 0 {
		delete(f.active, fingerprint)
	}
	f.mu.Unlock()
}

// Broke notes that the connection of a request ended in the exchange. It is
// kept for crashWindow, so that the others in flight don't look alone later.
func (f *UpstreamInFlight) RecordBroken(fingerprint uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = slices.DeleteFunc(f.broken, func(b brokenRequest) bool { return now.Sub(b.at) > crashWindow })
	f.broken = append(f.broken, brokenRequest{fingerprint: fingerprint, at: now})
}

// Suspects returns the distinct fingerprints that were in flight at a crash.
func (f *UpstreamInFlight) Suspects(now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []uint64
	for fingerprint := range f.active {
		list = append(list, fingerprint)
	}
	for _, b := range f.broken {
		if now.Sub(b.at) <= crashWindow {
			list = append(list, b.fingerprint)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
