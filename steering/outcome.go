package steering

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

// UpstreamChange describes what happened to one upstream, for the log and for the other
// hosts.
type UpstreamChange struct {
	Upstream fleet.Upstream
	Service  fleet.Pool
	// Description is empty if nothing has changed.
	Description string
	// ColdFor is the remaining warm-up time; 0 if the upstream is warm.
	ColdFor time.Duration
	// WarmupHost is true if this host may send requests to the cold upstream.
	WarmupHost bool
	// Limited is true if the upstream states a limit, Limit the limit in requests per
	// second for all hosts together. LimitHost is true if this host has a share of it.
	Limited   bool
	Limit     float64
	LimitHost bool
	// PausedFor is the pause for which the upstream asks in this change; 0 if it does not.
	PausedFor time.Duration
	// StatedColdFor is the remaining warm-up time according to the upstream itself, of
	// which the other hosts are notified; 0 if this change contains no such statement.
	StatedColdFor time.Duration
	// LimitEnded is true if the upstream no longer states a limit.
	LimitEnded bool
}

// describe adds a description, unless it is empty.
func (c *UpstreamChange) describe(description string) {
	if c.Description != "" && description != "" {
		c.Description += ", "
	}
	c.Description += description
}

// change returns a change of an upstream with its present state.
func (t *Table) change(now machine.Instant, m *member, description string) UpstreamChange {
	c := UpstreamChange{Description: description}
	t.addState(now, m, &c)
	return c
}

// addState sets the fields of a change that hold the present state of the upstream.
func (t *Table) addState(now machine.Instant, m *member, c *UpstreamChange) {
	c.Upstream, c.Service = m.ID, m.Service
	if m.limiter.active(now) {
		c.ColdFor, c.WarmupHost = m.limiter.until().Sub(now), t.isWarmupHost(m)
	}
	if m.limit.known {
		c.Limited, c.Limit, c.LimitHost = true, m.limit.perSecond, t.isLimitHost(m)
	}
}

// Done records the result of an attempt and returns the change to the upstream's state.
func (t *Table) Done(now machine.Instant, id fleet.Upstream, r upstream.Result) UpstreamChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return UpstreamChange{}
	}
	m.inFlight = max(0, m.inFlight-1)
	if r.Response != nil {
		t.recordLoad(now, m, r.Response.Load)
	}
	c := UpstreamChange{Description: t.record(now, m, r)}
	if r.Outcome == upstream.Answered || r.Outcome == upstream.Refused {
		t.recordStatements(now, m, r, &c)
	}
	if c.Description != "" {
		t.addState(now, m, &c)
	}
	return c
}

// recordStatements applies what an upstream states about itself in a response.
func (t *Table) recordStatements(now machine.Instant, m *member, r upstream.Result, c *UpstreamChange) {
	limitChange, ended := t.recordLimit(now, m, r)
	c.describe(limitChange)
	c.LimitEnded = ended
	if r.Response.ColdFor > 0 {
		if !m.limiter.active(now) {
			c.describe("states that it is cold")
			c.StatedColdFor = r.Response.ColdFor
		}
		m.limiter.start(now, r.Response.ColdFor)
	}
	switch {
	case r.Response.Pause > 0:
		m.eject(now, r.Response.Pause)
		m.paused, c.PausedFor = true, r.Response.Pause
		c.describe("asks for a pause")
	case m.paused && now >= m.ejectedUntil:
		m.paused = false
		c.describe("answers after its pause")
	}
	if r.Response.Leaving && !m.leaving {
		m.leaving = true
		t.rebuildPools()
		c.describe("states that it is leaving")
	}
}

// record applies the result of an attempt to the upstream's state and describes the
// change, if any.
func (t *Table) record(now machine.Instant, m *member, r upstream.Result) (change string) {
	switch r.Outcome {
	case upstream.Answered:
		t.services[m.Service].recordServiceTime(r.Took, m.Location.Region == t.config.Location.Region)
		m.recordOutcome(now, r.Response.Status >= 500)
		if m.failures > 0 {
			m.failures = 0
			if m.limiter.suspected(now) {
				m.limiter.verify(now, t.warmup[m.Service].SlowStart)
			}
			return "answers again"
		}
	case upstream.Refused:
		t.services[m.Service].refusedAt = now
		// A refusal despite free slots counts as a failure.
		full := r.Response.Load.Known && r.Response.Load.Running >= m.Slots
		m.recordOutcome(now, !full)
	case upstream.Misdirected:
		m.eject(now, maxBackoff)
		return "address belongs to another upstream"
	case upstream.Unreachable:
		m.recordOutcome(now, true)
		t.recordFailure(now, m, r)
		return "unreachable"
	case upstream.Broken:
		m.recordOutcome(now, true)
		if r.Reused && !r.Unresponsive {
			// The upstream may have closed the connection as idle.
			return "connection broke"
		}
		t.recordFailure(now, m, r)
		if r.Unresponsive {
			return "silent"
		}
		return "broke a new connection"
	case upstream.TimedOut:
		m.recordOutcome(now, true)
	case upstream.Cancelled:
	}
	return ""
}

// recordFailure ejects an upstream whose process may have ended.
func (t *Table) recordFailure(now machine.Instant, m *member, r upstream.Result) {
	m.failures++
	m.eject(now, backoff(m.failures))
	// A single failure of an unresponsive machine may be a lost packet.
	if r.Rejected || r.Unresponsive && m.failures > 1 {
		t.suspectRestart(now, m)
	}
}

// suspectRestart treats an upstream as cold because its process may have ended. It may
// restart under the same ID, and this host's copy of its entry be older than that;
// without a new entry, the restart is excluded only once the old entry would have lapsed.
func (t *Table) suspectRestart(now machine.Instant, m *member) {
	m.limiter.suspect(now, t.config.EntryLapse+t.warmup[m.Service].SlowStart)
}

// Crashed records that an upstream's process has ended, and returns the change.
func (t *Table) Crashed(now machine.Instant, id fleet.Upstream) UpstreamChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return UpstreamChange{}
	}
	t.recordFailure(now, m, upstream.Result{Rejected: true})
	return t.change(now, m, "crashed")
}

// eject keeps requests from an upstream for d.
func (m *member) eject(now machine.Instant, d time.Duration) {
	m.ejectedUntil = max(m.ejectedUntil, now.Add(d))
}

// recordServiceTime adds the duration of an answered request to the averages.
func (p *pool) recordServiceTime(took time.Duration, local bool) {
	p.serviceTime = movingAverage(p.serviceTime, took.Seconds())
	if local {
		p.localServiceTime = movingAverage(p.localServiceTime, took.Seconds())
	}
}

// movingAverage returns the average service time (EWMA) with one more answer.
func movingAverage(mean, seconds float64) float64 {
	if mean == 0 {
		return seconds
	}
	return mean + serviceTimeWeight*(seconds-mean)
}

// recordOutcome adds an attempt to the failure rate.
func (m *member) recordOutcome(now machine.Instant, failed bool) {
	rate := m.currentFailureRate(now) * (1 - failureRateWeight)
	if failed {
		rate += failureRateWeight
	}
	m.failureRate, m.failureRateAt = rate, now
}

// backoff returns how long an upstream gets no requests after that many failures.
func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures-1, 4))
}
