package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxStartWait bounds how long a process waits for the answers of other hosts before it
	// sends requests to upstreams. It covers a request and its answer between regions (110 ms)
	// and the loss of one of them. If all hosts have ended at once, nobody answers.
	maxStartWait = 300 * time.Millisecond
	// maxStartHold bounds how long a request is held meanwhile: maxStartWait, and some ticks.
	// The request's deadline may end it before.
	maxStartHold = 500 * time.Millisecond
	// minStartChecks is the least number of checks, one per tick, before the wait ends. A
	// process that is paused for longer than maxStartWait has not yet read the answers.
	minStartChecks = 6
	// knowsAfter is the time after its first lists from which on a process has seen itself
	// which upstreams are cold: three heartbeats of 1.5 s.
	knowsAfter = 4500 * time.Millisecond
)

// startGate keeps a process that joins a running fleet from sending requests to upstreams
// until other hosts have answered which of them are cold. The first lists do not contain that:
// an evacuation may have ended before them, and entries are up to a heartbeat old. The zero
// value is open.
type startGate struct {
	closed atomic.Bool
	// opened is closed when the gate is opened.
	opened chan struct{}
	// joins is true if there are hosts to ask.
	joins bool

	mu sync.Mutex
	// lists has the kinds whose first list is applied.
	lists [kindCount]bool
	// listedAt is when those of the configuration and the upstreams were.
	listedAt machine.Instant
	// checks counts the calls of overdue since then.
	checks int
	// asked is true once other hosts have to be asked, caughtUp once one has answered that knew.
	asked, caughtUp bool
}

// close closes the gate of a process that joins a running fleet.
func (g *startGate) close() {
	g.joins, g.opened = true, make(chan struct{})
	g.closed.Store(true)
}

// listed notes a complete list that is applied, and reports whether other hosts have to be
// asked now: the answers must be later than the lists.
func (g *startGate) listed(k kind, now machine.Instant) (ask bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lists[k] = true
	if !g.lists[kindConfiguration] || !g.lists[kindUpstreams] {
		return false
	}
	if g.listedAt == 0 {
		g.listedAt = now
	}
	if g.asked || !g.joins || !g.lists[kindEvacuations] {
		return false
	}
	g.asked = true
	return true
}

// overdue reports whether the gate has to be opened without an answer. It is called once per
// tick.
func (g *startGate) overdue(now machine.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed.Load() || g.listedAt == 0 {
		return false
	}
	g.checks++
	return g.checks >= minStartChecks && now.Sub(g.listedAt) >= maxStartWait
}

// open opens the gate and reports whether it was closed. known is true if a host has answered
// that knew which upstreams are cold.
func (g *startGate) open(known bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.caughtUp = g.caughtUp || known
	if !g.closed.Swap(false) {
		return false
	}
	close(g.opened)
	return true
}

// hasLists reports whether the configuration and the upstreams are listed. Before, nothing says when
// the gate will open: the store may be away.
func (g *startGate) hasLists() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listedAt != 0
}

// await holds a request until the gate is open. It returns false at once without the lists, and if
// its context ends, or limit or maxStartHold passes first. Requests are held instead of refused because after a loss of all
// hosts no other one would take them.
func (g *startGate) await(ctx context.Context, limit time.Duration) bool {
	if !g.closed.Load() {
		return true
	}
	if !g.hasLists() {
		return false
	}
	timer := time.NewTimer(min(limit, maxStartHold))
	defer timer.Stop()
	select {
	case <-g.opened:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// knows reports whether this process knows which upstreams are cold, as far as hosts can.
func (g *startGate) knows(now machine.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.caughtUp || g.listedAt != 0 && now.Sub(g.listedAt) >= knowsAfter
}

// waited returns the time since the first lists.
func (g *startGate) waited(now machine.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listedAt == 0 {
		return 0
	}
	return now.Sub(g.listedAt)
}

// checkStart ends the start if the other hosts do not answer.
func (e *Edge) checkStart() {
	if now := e.now(); e.start.overdue(now) {
		e.endStart(now, false)
	}
}

// endStart permits requests to upstreams.
func (e *Edge) endStart(now machine.Instant, known bool) {
	if e.start.open(known) {
		e.log.Info().Bool("known", known).Int("cold", e.steering.ColdCount(now)).Dur("waited", e.start.waited(now)).Msg("requests may be sent to upstreams")
	}
}

// learnEvacuated begins the warm-up of upstreams in failure domains that another host still
// takes for evacuated, at a position at which this host's later copy no longer does.
func (e *Edge) learnEvacuated(now machine.Instant, l advisory.Learned) {
	if _, position := e.evacuations.inForce(); len(l.Evacuated) > 0 && l.Position <= position {
		e.logUpstreams(nil, e.steering.Restored(now, l.Evacuated), 0)
	}
}

// coldState returns what a host that starts has to know about cold upstreams.
func (e *Edge) coldState(now machine.Instant) advisory.State {
	evacuated, position := e.evacuations.inForce()
	return advisory.State{
		Known: e.start.knows(now) && e.unreachable.Load() == 0,
		List:  e.steering.ColdStatements(now), Evacuated: evacuated, Position: position,
	}
}
