package alert

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
)

const (
	// reportInterval is the time between two reports of a host. With 64 hosts and 64
	// latency series a report has about 20 KB.
	reportInterval = 2 * time.Second
	// maxReportAge is the age from which a report is ignored: two may be lost.
	maxReportAge = 6 * time.Second
	// evaluateInterval is the time between two evaluations.
	evaluateInterval = time.Second
	// refreshInterval is the time between two states when no rule changes. A new
	// evaluator loses at most this much of the time for which a condition held.
	refreshInterval = 5 * time.Second
	// resendInterval is the time without answers of a majority after which a state is
	// resent, or a takeover is tried again with a new term.
	resendInterval = time.Second
	// evaluatorTimeout is the time without answers of a majority after which an
	// evaluator steps down, and the time without a state after which members send
	// their reports to the preferred evaluator.
	evaluatorTimeout = 12 * time.Second
	// maxTickGap is the time between two ticks beyond which the process is assumed
	// to have been paused, so that another evaluator may have taken over.
	maxTickGap = 1500 * time.Millisecond
	// takeoverBackoff is the time for which a host that follows a new term does not
	// try to take over, so that two hosts that can't reach each other take turns.
	takeoverBackoff = 3 * time.Second
	// restartGracePeriod is the time after the start for which a member makes no
	// promises, because it may have made one before its restart. It is longer than
	// a member's answer can be in transit.
	restartGracePeriod = 5 * time.Second
)

type role uint8

const (
	roleFollower role = iota
	roleCandidate
	roleEvaluator
)

type receivedReport struct {
	report     measure.Report
	receivedAt machine.Instant
}

// Machine is the alerting state machine of one host.
type Machine struct {
	self            fleet.Member
	now             machine.Now
	out             []machine.Output
	view            *fleet.View
	leaseValidUntil machine.Instant

	started  machine.Instant
	lastTick machine.Instant

	revision fleet.Revision
	rules    []*rule
	unusable []unusable
	rates    map[fleet.Customer]float64

	// promised is the highest term that this host has promised to follow, state the
	// newest state of any term that it has stored.
	promised        Term
	state           State
	stateReceivedAt machine.Instant

	role         role
	backoffUntil machine.Instant
	// term is this host's own term as candidate or evaluator.
	term Term
	// answered holds the members that promised the term or acknowledged the state.
	answered   map[fleet.Member]bool
	committed  bool
	sentAt     machine.Instant
	majorityAt machine.Instant

	reports      map[fleet.HostID]receivedReport
	nextReport   machine.Instant
	nextEvaluate machine.Instant
	evaluatedAt  machine.Instant
}

// unusable is a configured rule that can't be evaluated.
type unusable struct {
	line   string
	reason error
}

var _ machine.Machine = (*Machine)(nil)

// New returns the machine of a host.
func New(self fleet.Member) *Machine {
	return &Machine{self: self, view: &fleet.View{}, reports: map[fleet.HostID]receivedReport{}, answered: map[fleet.Member]bool{}}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.now, m.out = now, nil
	if m.started != 0 && now.Instant.Sub(m.lastTick) > maxTickGap {
		m.stepDown()
	}
	switch in := in.(type) {
	case machine.Tick:
		m.tick()
	case machine.ViewChanged:
		m.view = in.View
	case machine.LeaseChanged:
		m.leaseValidUntil = in.ValidUntil
	case SetRules:
		m.setRules(in)
	case ReportCollected:
		m.storeAndSendReport(in.Report)
	case machine.Received:
		m.receive(in.From, in.Message)
	}
	return m.out
}

func (m *Machine) emit(out machine.Output) { m.out = append(m.out, out) }

func (m *Machine) send(to fleet.HostID, message machine.Message) {
	m.emit(machine.Send{To: to, Message: message})
}

func (m *Machine) broadcast(message machine.Message) {
	for i := range m.view.Members {
		if id := m.view.Members[i].Host; id != m.self.Host {
			m.send(id, message)
		}
	}
}

func (m *Machine) setRules(in SetRules) {
	m.revision, m.rates = in.Revision, in.Rates
	m.rules, m.unusable = nil, nil
	for _, line := range in.Lines {
		r, err := newRule(line)
		if err != nil {
			m.unusable = append(m.unusable, unusable{line, err})
			continue
		}
		m.rules = append(m.rules, r)
	}
	if m.role == roleEvaluator {
		m.reportUnusable()
	}
}

// reportUnusable records the rules that can't be evaluated. Only the evaluator does
// so, which records each rule once per cell.
func (m *Machine) reportUnusable() {
	for _, u := range m.unusable {
		m.emit(machine.Event{Kind: EventUnusable, Subject: u.line, Text: "alert rule is not evaluated: " + u.reason.Error()})
	}
}

func (m *Machine) tick() {
	if m.started == 0 {
		m.started, m.lastTick = m.now.Instant, m.now.Instant
	}
	m.lastTick = m.now.Instant
	if m.now.Instant >= m.nextReport {
		m.nextReport = m.now.Instant.Add(reportInterval)
		m.emit(CollectReport{})
	}
	if !m.eligible() {
		m.stepDown()
		return
	}
	switch m.role {
	case roleFollower:
		if m.now.Instant >= m.backoffUntil {
			m.takeOver()
		}
	case roleCandidate:
		if m.now.Instant.Sub(m.sentAt) >= resendInterval {
			m.takeOver()
		}
	case roleEvaluator:
		m.evaluatorTick()
	}
}

// inRestartGracePeriod reports whether the host started less than restartGracePeriod
// ago, or has not started yet.
func (m *Machine) inRestartGracePeriod() bool {
	return m.started == 0 || m.now.Instant.Sub(m.started) < restartGracePeriod
}

// preferredEvaluator returns the reachable active member with the lowest ID.
func (m *Machine) preferredEvaluator() fleet.HostID {
	for i := range m.view.Members {
		member := &m.view.Members[i]
		if member.State == fleet.StateActive && (member.Reachable || member.Host == m.self.Host) {
			return member.Host
		}
	}
	return ""
}

// eligible reports whether this host should be the evaluator. A host without a valid
// lease may be partitioned without noticing.
func (m *Machine) eligible() bool {
	return m.preferredEvaluator() == m.self.Host && m.now.Instant < m.leaseValidUntil && !m.inRestartGracePeriod()
}

func (m *Machine) majority() int { return len(m.view.Members)/2 + 1 }

func (m *Machine) hasMajority() bool {
	count := 0
	for i := range m.view.Members {
		if m.answered[m.view.Members[i].Member] {
			count++
		}
	}
	return count >= m.majority()
}

// follow promises to follow a higher term of another host.
func (m *Machine) follow(term Term) {
	m.promised = term
	m.backoffUntil = m.now.Instant.Add(takeoverBackoff)
	m.stepDown()
}

func (m *Machine) stepDown() {
	if m.role == roleFollower {
		return
	}
	if m.role == roleEvaluator {
		m.stateReceivedAt = 0
		m.emit(CurrentAlerts{})
	}
	m.role = roleFollower
}

// takeOver starts a new term and requests promises for it from all members.
func (m *Machine) takeOver() {
	highest := m.promised
	if m.state.Term.Compare(highest) > 0 {
		highest = m.state.Term
	}
	m.role = roleCandidate
	m.term = Term{Number: highest.Number + 1, Host: m.self.Host}
	m.promised = m.term
	m.answered = map[fleet.Member]bool{m.self: true}
	m.sentAt = m.now.Instant
	m.broadcast(Takeover{Term: m.term})
	m.tryBecomeEvaluator()
}

// tryBecomeEvaluator starts to evaluate once a majority follows the term.
func (m *Machine) tryBecomeEvaluator() {
	if !m.hasMajority() {
		return
	}
	m.role = roleEvaluator
	m.majorityAt = m.now.Instant
	m.evaluatedAt = 0
	m.nextEvaluate = m.now.Instant
	m.emit(machine.Event{Kind: EventEvaluator, Subject: string(m.self.Host), Text: "this host evaluates the alert rules of the cell"})
	m.reportUnusable()
	m.propose(m.state.Rules, m.state.Unannounced)
}

// propose creates a new state and sends it to all members.
func (m *Machine) propose(rules []RuleState, unannounced []Change) {
	m.state = State{
		Term: m.term, Sequence: m.state.Sequence + 1, Revision: max(m.revision, m.state.Revision),
		Rules: rules, Unannounced: unannounced,
	}
	m.committed = false
	m.answered = map[fleet.Member]bool{m.self: true}
	m.sendState()
	m.publish()
	m.tryCommit()
}

func (m *Machine) sendState() {
	m.sentAt = m.now.Instant
	m.broadcast(m.state)
}

// tryCommit commits the state once a majority has stored it, and records its
// unannounced changes. It then proposes the state without them, so that the next
// evaluator does not record them again.
func (m *Machine) tryCommit() {
	if m.committed || !m.hasMajority() {
		return
	}
	m.committed = true
	m.majorityAt = m.now.Instant
	if len(m.state.Unannounced) == 0 {
		return
	}
	for _, c := range m.state.Unannounced {
		m.emit(c.event())
	}
	m.propose(m.state.Rules, nil)
}

// publish outputs the evaluator and the firing alerts that the host shows.
func (m *Machine) publish() {
	current := CurrentAlerts{Evaluator: m.state.Term.Host}
	for i := range m.state.Rules {
		if s := &m.state.Rules[i]; s.Firing {
			name, severity := ruleNameAndSeverity(s.Line)
			current.Firing = append(current.Firing, Firing{
				Name: name, Severity: severity, Line: s.Line, Value: s.Value, SinceMillis: s.SinceMillis,
			})
		}
	}
	m.emit(current)
}

func (m *Machine) receive(from fleet.Member, message machine.Message) {
	switch msg := message.(type) {
	case Report:
		m.reports[from.Host] = receivedReport{msg.Report, m.now.Instant}
	case Takeover:
		m.receiveTakeover(from, msg)
	case Promise:
		m.receivePromise(from, msg)
	case State:
		m.receiveState(from, msg)
	case StateAck:
		if m.role == roleEvaluator && msg.Term == m.state.Term && msg.Sequence == m.state.Sequence {
			m.answered[from] = true
			m.tryCommit()
		}
	case Refused:
		if msg.Promised.Compare(m.promised) > 0 {
			m.follow(msg.Promised)
		}
	}
}

func (m *Machine) receiveTakeover(from fleet.Member, msg Takeover) {
	if m.inRestartGracePeriod() {
		return
	}
	switch msg.Term.Compare(m.promised) {
	case -1:
		m.send(from.Host, Refused{Promised: m.promised})
		return
	case 1:
		m.follow(msg.Term)
	}
	m.send(from.Host, Promise{Term: msg.Term, State: m.state})
}

func (m *Machine) receivePromise(from fleet.Member, msg Promise) {
	if m.role != roleCandidate || msg.Term != m.term {
		return
	}
	if msg.State.newerThan(&m.state) {
		m.state = msg.State
	}
	m.answered[from] = true
	m.tryBecomeEvaluator()
}

func (m *Machine) receiveState(from fleet.Member, msg State) {
	if m.inRestartGracePeriod() {
		return
	}
	if msg.Term.Compare(m.promised) < 0 {
		m.send(from.Host, Refused{Promised: m.promised})
		return
	}
	if msg.Term.Compare(m.promised) > 0 {
		m.follow(msg.Term)
	}
	m.stateReceivedAt = m.now.Instant
	if msg.newerThan(&m.state) {
		m.state = msg
		m.publish()
	}
	m.send(from.Host, StateAck{Term: msg.Term, Sequence: msg.Sequence})
}

// storeAndSendReport stores the host's own report and sends it to the evaluator. If
// there was no recent state, the preferred evaluator gets it.
func (m *Machine) storeAndSendReport(report measure.Report) {
	m.reports[m.self.Host] = receivedReport{report, m.now.Instant}
	to := m.preferredEvaluator()
	if m.stateReceivedAt > 0 && m.now.Instant.Sub(m.stateReceivedAt) < evaluatorTimeout {
		to = m.state.Term.Host
	}
	if to != "" && to != m.self.Host {
		m.send(to, Report{Report: report})
	}
}
