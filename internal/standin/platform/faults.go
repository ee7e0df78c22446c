package platform

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// OutageMode is the way in which a call fails.
type OutageMode string

// The ways in which calls fail.
const (
	// OutageNone means that calls succeed.
	OutageNone OutageMode = "none"
	// OutageRefuse answers 503.
	OutageRefuse OutageMode = "refuse"
	// OutageHang sends no answer and closes the connection when the fault ends.
	OutageHang OutageMode = "hang"
	// OutageClose closes the connection without an answer.
	OutageClose OutageMode = "close"
)

// Scope is the set of calls that an outage affects.
type Scope string

// The scopes of an outage.
const (
	ScopeAll     Scope = "all"
	ScopeObjects Scope = "objects"
	ScopeHosts   Scope = "hosts"
)

// Faults are the active faults. The body of POST /admin/faults has the same
// fields; omitted fields keep their values.
type Faults struct {
	Outage      OutageMode `json:"outage"`
	OutageScope Scope      `json:"outageScope"`
	// LatencyMillis is added to every call before it takes effect.
	LatencyMillis int `json:"latencyMillis"`
	// LoseAnswers is the number of upcoming changes that take effect but whose
	// answer is lost.
	LoseAnswers int `json:"loseAnswers"`
	// LoseMode is OutageClose or OutageHang and applies to lost answers.
	LoseMode OutageMode `json:"loseMode"`
	// CutOff lists the client names (header X-Client) and source addresses of
	// the clients whose calls all fail.
	CutOff []string `json:"cutOff"`
	// CutOffMode is the way in which the calls of cut-off clients fail.
	CutOffMode OutageMode `json:"cutOffMode"`
	// RegionDelayMillis is the one-way network delay for the clients of a
	// region. It is added before a call takes effect and again before the answer.
	RegionDelayMillis map[fleet.Region]int `json:"regionDelayMillis"`
	HostLagMillis     int                  `json:"hostLagMillis"`
	// HostsFrozen stops updates of the host list.
	HostsFrozen bool `json:"hostsFrozen"`
}

func defaultFaults() Faults {
	return Faults{
		Outage:            OutageNone,
		OutageScope:       ScopeAll,
		LoseMode:          OutageClose,
		CutOff:            []string{},
		CutOffMode:        OutageHang,
		RegionDelayMillis: map[fleet.Region]int{},
	}
}

// check returns *RequestError if a field has an invalid value.
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

// faultSettings holds the active faults. Each change closes and replaces the
// channel, so that hanging calls check the faults again.
type faultSettings struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultSettings() *faultSettings {
	return &faultSettings{faults: defaultFaults(), changed: make(chan struct{})}
}

func (s *faultSettings) get() Faults {
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

// change applies edit to the faults. If the result is invalid, they stay unchanged.
func (s *faultSettings) change(edit func(*Faults) error) (Faults, error) {
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

// failureMode returns how a call currently fails, and a channel that is closed
// when the faults change.
func (s *faultSettings) failureMode(call Call, client, address string) (OutageMode, <-chan struct{}) {
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

// loseAnswer reports whether the answer to this change must be lost, and
// how. If so, it decrements LoseAnswers.
func (s *faultSettings) loseAnswer() (bool, OutageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false, OutageNone
	}
	s.faults.LoseAnswers--
	return true, s.faults.LoseMode
}

// delay returns the delay before a call takes effect and that before its answer.
func (s *faultSettings) delay(region fleet.Region) (in, out time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oneWay := time.Duration(s.faults.RegionDelayMillis[region]) * time.Millisecond
	added := time.Duration(s.faults.LatencyMillis) * time.Millisecond
	return oneWay + added, oneWay
}
