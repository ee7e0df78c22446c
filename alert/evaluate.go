package alert

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
)

// The event kinds of this package.
const (
	EventFired     = "alert.fired"
	EventCleared   = "alert.cleared"
	EventUnusable  = "alert.unusable"
	EventEvaluator = "alert.evaluator"
)

func (c *Change) event() machine.Event {
	name, severity := ruleNameAndSeverity(c.Line)
	if severity != "" {
		severity = ", severity " + severity
	}
	at := time.UnixMilli(c.SinceMillis).UTC().Format(time.RFC3339)
	if c.Fired {
		return machine.Event{Kind: EventFired, Subject: name, Text: fmt.Sprintf("fired at %s with %g%s: %s", at, c.Value, severity, c.Line)}
	}
	reason := fmt.Sprintf("the value is %g", c.Value)
	if c.Reason != "" {
		reason = c.Reason
	}
	return machine.Event{Kind: EventCleared, Subject: name, Text: fmt.Sprintf("cleared because %s; it had fired at %s%s: %s", reason, at, severity, c.Line)}
}

// ruleNameAndSeverity returns the name and the severity of a rule. The name is the
// whole line if it can't be parsed.
func ruleNameAndSeverity(line string) (name, severity string) {
	r, err := configuration.ParseAlertRule(line)
	if err != nil {
		return line, ""
	}
	return r.Name, r.Severity
}

// evaluatorTick does the periodic work of the evaluator.
func (m *Machine) evaluatorTick() {
	if m.now.Instant.Sub(m.majorityAt) > evaluatorTimeout {
		m.stepDown()
		return
	}
	if !m.committed {
		if m.now.Instant.Sub(m.sentAt) >= resendInterval {
			m.sendState()
		}
		return
	}
	if m.now.Instant < m.nextEvaluate {
		return
	}
	m.nextEvaluate = m.now.Instant.Add(evaluateInterval)
	m.evaluate()
}

// evaluate checks all rules against the metrics of the cell.
func (m *Machine) evaluate() {
	if m.revision < m.state.Revision {
		// A previous evaluator had newer rules, which this host will receive soon.
		return
	}
	elapsed := m.now.Instant.Sub(m.evaluatedAt)
	if m.evaluatedAt == 0 || elapsed > 2*evaluateInterval {
		// After a gap in evaluation only one interval counts.
		elapsed = evaluateInterval
	}
	m.evaluatedAt = m.now.Instant
	cell, complete := m.cell()
	e := evaluation{m: m, elapsed: elapsed.Milliseconds()}
	for _, r := range m.rules {
		value, known := 0.0, false
		if complete {
			value, known = r.measure.value(cell, r.filter)
		}
		e.rule(r, value, known && !math.IsNaN(value))
	}
	e.clearRemovedRules()
	if e.changed || m.now.Instant.Sub(m.sentAt) >= refreshInterval {
		m.propose(e.rules, e.changes)
		return
	}
	m.state.Rules = e.rules
}

// cell collects the recent reports. It is complete if a majority of the members
// reports: the others are then dead or partitioned, and the evaluator can't
// observe their traffic.
func (m *Machine) cell() (*CellSnapshot, bool) {
	c := &CellSnapshot{Reports: map[fleet.HostID]*measure.Report{}, Rates: m.rates}
	for i := range m.view.Members {
		member := &m.view.Members[i]
		if member.State == fleet.StateActive {
			c.Active = append(c.Active, member.Host)
		}
		if r, known := m.reports[member.Host]; known && m.now.Instant.Sub(r.receivedAt) < maxReportAge {
			c.Reports[member.Host] = &r.report
		}
	}
	maps.DeleteFunc(m.reports, func(id fleet.HostID, _ receivedReport) bool { return m.view.Find(id) == nil })
	return c, len(c.Reports) >= m.majority()
}

// evaluation is one pass over all rules.
type evaluation struct {
	m       *Machine
	elapsed int64 // milliseconds
	rules   []RuleState
	changes []Change
	changed bool
}

// rule updates the state of one rule. A missing value leaves the state unchanged:
// the time does not count, and a firing rule keeps firing.
func (e *evaluation) rule(r *rule, value float64, known bool) {
	before := e.m.state.rule(r.line)
	var s RuleState
	if before != nil {
		s = *before
	} else {
		s = RuleState{Line: r.line}
	}
	switch {
	case !known:
	case !r.holds(value):
		if s.Firing {
			e.changes = append(e.changes, Change{Line: r.line, SinceMillis: s.SinceMillis, Value: value})
		}
		e.changed = e.changed || before != nil
		return
	default:
		s.Value = value
		if before != nil || r.parsed.For == 0 {
			s.HeldMillis += e.elapsed
		}
		if !s.Firing && s.HeldMillis >= r.parsed.For.Milliseconds() {
			s.Firing, s.SinceMillis = true, e.m.now.WallMillis
			e.changes = append(e.changes, Change{Line: r.line, Fired: true, SinceMillis: s.SinceMillis, Value: value})
			e.changed = true
		}
		e.changed = e.changed || before == nil
	}
	if known || before != nil {
		e.rules = append(e.rules, s)
	}
}

// clearRemovedRules clears rules that are no longer in the configuration.
func (e *evaluation) clearRemovedRules() {
	for i := range e.m.state.Rules {
		s := &e.m.state.Rules[i]
		if slices.ContainsFunc(e.m.rules, func(r *rule) bool { return r.line == s.Line }) {
			continue
		}
		e.changed = true
		if s.Firing {
			e.changes = append(e.changes, Change{Line: s.Line, SinceMillis: s.SinceMillis, Reason: "the rule was withdrawn"})
		}
	}
}
