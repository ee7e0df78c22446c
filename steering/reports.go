package steering

import (
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/loadreport"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

// slowdownHalfLife is the half-life of the deviation of a slowdown from 1. Machines that
// are shared with other work are slow for about this time.
const slowdownHalfLife = 400 * time.Millisecond

// minSlowdown is the smallest slowdown that is applied, and the smallest one in a load report.
// Work is divided by it, so a smaller one would make the work of a service huge.
const minSlowdown = 0.01

// currentSlowdown returns the slowdown, which approaches 1 with the time since it was
// stated.
func (m *member) currentSlowdown(now machine.Instant) float64 {
	if m.slowdown == 0 {
		return 1
	}
	return 1 + decayed(m.slowdown-1, now.Sub(m.slowdownAt), slowdownHalfLife)
}

// setLoad records the load of an upstream at an instant.
func (m *member) setLoad(at machine.Instant, load int) {
	m.otherHostsLoad = max(0, float64(load-m.inFlight))
	m.otherHostsLoadAt = at
}

// setSlowdown records the slowdown of an upstream at an instant; 0 means none was stated.
func (p *pool) setSlowdown(at machine.Instant, m *member, slowdown float64) {
	if slowdown > 0 {
		m.slowdown, m.slowdownAt = slowdown, at
		p.statesSlowdown = true
	}
}

// recordLoad records the load that an upstream stated in a response. Under pressure, an
// upstream that states its load without a slowdown is taken to work at the usual speed.
func (t *Table) recordLoad(now machine.Instant, m *member, l upstream.Load) {
	p := t.services[m.Service]
	if t.config.Pressure && l.Known && l.Slowdown == 0 {
		l.Slowdown = 1
	}
	if l.Slowdown > 0 {
		l.Slowdown = max(minSlowdown, l.Slowdown)
	}
	p.setSlowdown(now, m, l.Slowdown)
	if !l.Known {
		return
	}
	m.setLoad(now, l.Running+l.Waiting)
	if l.Slowdown > 0 {
		m.statement = &loadreport.Report{Upstream: advisory.Key(m.hash), Load: l.Running + l.Waiting, Slowdown: l.Slowdown}
		m.statedAt = now
	}
}

// TakeReports returns what upstreams have stated to this host since the last call. It
// contains only upstreams of services that are placed by estimated completion.
func (t *Table) TakeReports(now machine.Instant) []loadreport.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []loadreport.Report
	for _, m := range t.members {
		if m.statement == nil {
			continue
		}
		if m.statement.Age = now.Sub(m.statedAt); m.statement.Age < loadreport.MaxAge {
			reports = append(reports, *m.statement)
		}
		m.statement = nil
	}
	return reports
}

// Learn applies the reports of another host that are newer than what this host has
// received. They change only loads and slowdowns: a faulty host must not be able to keep
// requests from an upstream for longer than these last.
func (t *Table) Learn(now machine.Instant, reports []loadreport.Report) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		m := t.byKey[r.Upstream]
		at := now.Add(-r.Age)
		if m == nil || r.Age >= loadreport.MaxAge || at <= m.otherHostsLoadAt {
			continue
		}
		m.setLoad(at, r.Load)
		// A response may state a slowdown without a readable load.
		if at > m.slowdownAt {
			t.services[m.Service].setSlowdown(at, m, r.Slowdown)
		}
	}
}
