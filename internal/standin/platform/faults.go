package platform

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// OutageMode says how a call fails.
type OutageMode string

// The ways in which calls fail.
const (
	// OutageNone means that calls are answered.
	OutageNone OutageMode = "none"
	// OutageRefuse answers 503.
	OutageRefuse OutageMode = "refuse"
	// OutageHang gives no answer and closes the connection when the fault ends.
	OutageHang OutageMode = "hang"
	// OutageClose closes the connection without an answer.
	OutageClose OutageMode = "close"
)

// Scope says which calls an outage concerns.
type Scope string

// The scopes of an outage.
const (
	ScopeAll     Scope = "all"
	ScopeObjects Scope = "objects"
	ScopeHosts   Scope = "hosts"
)

// Faults are the switched faults. The body of POST /admin/faults has the same
// fields; a field that it omits stays as it was.
type Faults struct {
	Outage      OutageMode `json:"outage"`
	OutageScope Scope      `json:"outageScope"`
	// LatencyMillis is added to every call before it takes effect.
	LatencyMillis int `json:"latencyMillis"`
	// LoseAnswers is the number of next changes that take effect and are not
	// answered.
	LoseAnswers int `json:"loseAnswers"`
	// LoseMode is OutageClose or OutageHang.
	LoseMode OutageMode `json:"loseMode"`
	// CutOff lists client names (header X-Client) and source addresses.
	CutOff []string `json:"cutOff"`
	// CutOffMode says how the calls of cut off clients fail.
	CutOffMode OutageMode `json:"cutOffMode"`
	// RegionDelayMillis is the one-way delay of clients of a region. It is
	// added before a call takes effect and again before the answer.
	RegionDelayMillis map[fleet.Region]int `json:"regionDelayMillis"`
	HostLagMillis     int                  `json:"hostLagMillis"`
	// HostsFrozen stops the updates of the host list.
	HostsFrozen bool `json:"hostsFrozen"`
}

func noFaults() Faults {
	return Faults{
		Outage:            OutageNone,
		OutageScope:       ScopeAll,
		LoseMode:          OutageClose,
		CutOff:            []string{},
		CutOffMode:        OutageHang,
		RegionDelayMillis: map[fleet.Region]int{},
	}
}

// check returns *RequestError if a value is not one of its kind.
func (f Faults) check() error {
	modes := []OutageMode{OutageNone, OutageRefuse, OutageHang, OutageClose}
	scopes := []Scope{ScopeAll, ScopeObjects, ScopeHosts}
	switch {
	case !slices.Contains(modes, f.Outage):
		return badRequest("outage %q is not one of %v", f.Outage, modes)
	case !slices.Contains(modes[1:], f.CutOffMode):
		return badRequest("cutOffMode %q is not one of %v", f.CutOffMode, modes[1:])
	case !slices.Contains(modes[2:], f.LoseMode):
		return badRequest("loseMode %q is not one of %v", f.LoseMode, modes[2:])
	case !slices.Contains(scopes, f.OutageScope):
		return badRequest("outageScope %q is not one of %v", f.OutageScope, scopes)
	case f.LatencyMillis < 0 || f.LoseAnswers < 0 || f.HostLagMillis < 0:
		return badRequest("latencyMillis, loseAnswers and hostLagMillis must not be negative")
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return &RequestError{Status: http.StatusBadRequest, Detail: fmt.Sprintf(format, args...)}
}

// faultSwitch holds the faults. Its channel is closed and replaced with each
// change, so that hanging calls look again.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultSwitch() *faultSwitch {
	return &faultSwitch{faults: noFaults(), changed: make(chan struct{})}
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.clone()
}

func (f Faults) clone() Faults {
	f.CutOff = slices.Clone(f.CutOff)
	delays := make(map[fleet.Region]int, len(f.RegionDelayMillis))
	for region, delay := range f.RegionDelayMillis {
		delays[region] = delay
	}
	f.RegionDelayMillis = delays
	return f
}

// change applies edit to the faults, unless the result fails its check.
func (s *faultSwitch) change(edit func(*Faults) error) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.faults.clone()
	if err := edit(&next); err != nil {
		return Faults{}, err
	}
	if err := next.check(); err != nil {
		return Faults{}, err
	}
	s.faults = next
	close(s.changed)
	s.changed = make(chan struct{})
	return next.clone(), nil
}

// failure returns how a call fails now, and a channel that is closed when the
// faults change.
func (s *faultSwitch) failure(call Call, client, address string) (OutageMode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if slices.Contains(f.CutOff, client) || slices.Contains(f.CutOff, address) {
		return f.CutOffMode, s.changed
	}
	inScope := f.OutageScope == ScopeAll || (f.OutageScope == ScopeHosts) == (call == CallHosts)
	if inScope {
		return f.Outage, s.changed
	}
	return OutageNone, s.changed
}

// loseAnswer reports whether the answer of this change is lost, and how.
func (s *faultSwitch) loseAnswer() (bool, OutageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false, OutageNone
	}
	s.faults.LoseAnswers--
	return true, s.faults.LoseMode
}

// delay returns the time that a call takes on its way in, and on its way out.
func (s *faultSwitch) delay(region fleet.Region) (in, out time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oneWay := time.Duration(s.faults.RegionDelayMillis[region]) * time.Millisecond
	added := time.Duration(s.faults.LatencyMillis) * time.Millisecond
	return oneWay + added, oneWay
}
