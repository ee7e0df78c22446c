package placement

import (
	"sync"
	"sync/atomic"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// slot is one in-flight request of this host at an upstream.
type slot struct {
	pool         *pool
	upstream     *upstream
	request      traffic.SlotRequest
	region       *regionState
	remote       bool
	chargedBytes float64
	released     atomic.Bool
}

var _ traffic.Slot = (*slot)(nil)

// Target returns the upstream of the slot.
func (s *slot) Target() traffic.Target { return s.upstream.target }

// Release returns the slot and updates the upstream's state from the report. A
// second call has no effect.
func (s *slot) Release(report traffic.Report) {
	if s.released.Swap(true) {
		return
	}
	p := s.pool
	now := p.table.now()
	p.mu.Lock()
	s.upstream.inFlight--
	s.upstream.observe(now, report.Result)
	if s.remote {
		s.region.remoteInFlight--
	}
	p.serveQueue(now)
	p.mu.Unlock()
	if s.remote {
		p.table.shifts.settle(now, s, report.Bytes)
	}
	if report.Result == traffic.ResultDraining {
		p.table.config.Post(LeavingSeen{Upstream: s.upstream.target.Name})
	}
}

// shifts holds the shifters of all routes.
type shifts struct {
	mu     sync.Mutex
	routes map[fleet.Route]*shifter
	caps   map[fleet.Route]ShiftCap
	weight float64
}

func newShifts() *shifts {
	return &shifts{routes: map[fleet.Route]*shifter{}, caps: map[fleet.Route]ShiftCap{}}
}

func (s *shifts) set(caps map[fleet.Route]ShiftCap, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caps = caps
	s.weight = weight
	for name, r := range s.routes {
		cap, known := caps[name]
		if !known {
			delete(s.routes, name)
			continue
		}
		r.cap = cap
		r.weight = weight
	}
}

func (s *shifts) route(name fleet.Route) *shifter {
	r := s.routes[name]
	if r == nil {
		r = newShifter(s.caps[name], s.weight)
		s.routes[name] = r
	}
	return r
}

func (s *shifts) recordArrival(now machine.Instant, route fleet.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route(route).recordArrival(now)
}

func (s *shifts) allow(now machine.Instant, route fleet.Route, region fleet.Region, bytes int) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.route(route).allow(now, region, bytes)
}

func (s *shifts) settle(now machine.Instant, released *slot, responseBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.route(released.request.Route).settle(now, released.region.name, released.chargedBytes, released.request.Bytes, responseBytes)
}
