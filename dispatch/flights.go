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

// flights knows the fingerprints of the requests in flight at each upstream.
type flights struct {
	upstreams sync.Map // fleet.Upstream to *flight
}

type flight struct {
	mu     sync.Mutex
	active map[uint64]int
	broken []brokenRequest
}

type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

func (f *flights) of(upstream fleet.Upstream) *flight {
	if found, ok := f.upstreams.Load(upstream); ok {
		return found.(*flight)
	}
	made, _ := f.upstreams.LoadOrStore(upstream, &flight{active: map[uint64]int{}})
	return made.(*flight)
}

// enter notes a request that is about to be written.
func (f *flight) enter(fingerprint uint64) {
	f.mu.Lock()
	f.active[fingerprint]++
	f.mu.Unlock()
}

// leave notes the end of the exchange.
func (f *flight) leave(fingerprint uint64) {
	f.mu.Lock()
	if f.active[fingerprint]--; f.active[fingerprint] <= 0 {
		delete(f.active, fingerprint)
	}
	f.mu.Unlock()
}

// broke notes that the connection of a request ended in the exchange. It is
// kept for crashWindow, so that the others in flight don't look alone later.
func (f *flight) broke(fingerprint uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = slices.DeleteFunc(f.broken, func(b brokenRequest) bool { return now.Sub(b.at) > crashWindow })
	f.broken = append(f.broken, brokenRequest{fingerprint: fingerprint, at: now})
}

// suspects returns the distinct fingerprints that were in flight at a crash.
func (f *flight) suspects(now time.Time) []uint64 {
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
