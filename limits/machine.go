package limits

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// LoanDuration is the duration of a loan. It is shorter than any host lease.
	LoanDuration = 2 * time.Second
	// minLoanDuration is the shortest loan that is worth a message.
	minLoanDuration = 200 * time.Millisecond
	// increaseDelay is the delay of a base share increase. Hosts whose share decreased
	// lend from the smaller share at once, but loans of the larger one may run until
	// then. It is the longest time for which a lender counts a loan as lent, LoanDuration
	// and a driftMargin, and another driftMargin for the clock of this host.
	increaseDelay = LoanDuration + 2*(LoanDuration/100+100*time.Millisecond)
	// successionDelay is the delay after which a successor takes over its predecessor's
	// share. Within it, the predecessor's borrowers learn of the new incarnation (one
	// way between regions, 110 ms, and one retry) and drop its loans. A borrower that
	// does not learn of it keeps a loan for at most LoanDuration.
	successionDelay = 300 * time.Millisecond
	// adjustInterval is the time between two updates of forecasts and loans.
	adjustInterval = 50 * time.Millisecond
)

// The kinds of events.
const (
	eventShare    = "limits-share"
	eventRevision = "limits-revision"
	eventPool     = "limits-pool"
)

// driftMargin returns what the waiting side adds to a duration that is measured on
// the clock of the other side.
func driftMargin(d time.Duration) time.Duration {
	return d/100 + 100*time.Millisecond
}

// CustomerLimit is the limit of one customer over all hosts.
type CustomerLimit struct {
	ID fleet.Customer
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
}

// SetCustomers carries the limits of a configuration revision. A revision that is
// not higher than the last one is ignored.
type SetCustomers struct {
	Revision  fleet.Revision
	Customers []CustomerLimit
}

// MachineInput marks SetCustomers as an input.
func (SetCustomers) MachineInput() {}

// Succession reports that the share that this host gets in the next view belonged to
// an earlier process of the host, which has ended. It must come before that view.
type Succession struct{}

// MachineInput marks Succession as an input.
func (Succession) MachineInput() {}

// Machine is the control side of the limits.
type Machine struct {
	shares Shares

	view       *fleet.View
	leaving    bool
	successor  bool
	leaseUntil machine.Instant
	revision   fleet.Revision

	// base is the host's share of all limits. Customers with a division have other
	// base shares.
	base   baseShare
	divide Divide
	// recorded is true if base shares follow the divisions that hosts record, see
	// allotment.
	recorded bool
	allotted *allotment
	bounds   RecordedBounds
	// keepUntil is until when the host goes on with the shares of an earlier era of the store;
	// 0 if it does not.
	keepUntil machine.Instant
	// removed has when each customer was removed that was removed lately.
	removed map[fleet.Customer]machine.Instant
	// sharesFrom is the last SharesFrom.
	sharesFrom machine.Instant
	// generation is that of the last division, and settled the last one reported by
	// Settled; settleAt is when generation follows.
	generation, settled uint64
	settleAt            machine.Instant
	// shareFrom is when this process may first use a share of its own, and joinAt when it
	// takes part without one; 0 before it is registered.
	shareFrom, joinAt machine.Instant
	joined            bool

	// accounts are sorted by customer.
	accounts []*account
	index    map[fleet.Customer]*account
	lastTick machine.Instant

	sequence uint64
	loanID   uint64
	// sent holds the pending requests by sequence.
	sent map[uint64]sentRequest
	// lastSequences has the highest sequence of each peer's requests, lastSpareSequences
	// that of its advertisements.
	lastSequences      map[fleet.Member]uint64
	lastSpareSequences map[fleet.Member]uint64
	nextSpare          machine.Instant
	nextSparePeer      int
	// nextSpareAccount is the account with which the next advertisement begins.
	nextSpareAccount int
	// lastSeen is when a message of a host last arrived, viewAt when the view arrived.
	lastSeen map[fleet.HostID]machine.Instant
	viewAt   machine.Instant
	// nextPoolCheck is when it is next decided which customers this host pools.
	nextPoolCheck machine.Instant
	// urgent bounds the requests to peers for the queued requests of all customers.
	urgent requestBudget

	out      []machine.Output
	requests map[fleet.HostID]*Request
}

type sentRequest struct {
	to fleet.HostID
	at machine.Instant
}

var _ machine.Machine = (*Machine)(nil)

// NewMachine returns a machine that publishes to shares. It holds nothing until
// it gets a view, a lease and customers. divide may be nil.
func NewMachine(shares Shares, divide Divide) *Machine {
	return &Machine{
		shares:             shares,
		divide:             divide,
		view:               &fleet.View{},
		index:              map[fleet.Customer]*account{},
		sent:               map[uint64]sentRequest{},
		lastSequences:      map[fleet.Member]uint64{},
		lastSpareSequences: map[fleet.Member]uint64{},
		lastSeen:           map[fleet.HostID]machine.Instant{},
		removed:            map[fleet.Customer]machine.Instant{},
		urgent:             requestBudget{rate: hostRequestRate, burst: hostRequestBurst, available: hostRequestBurst},
		requests:           map[fleet.HostID]*Request{},
	}
}

// NewRecordedMachine returns a machine for hosts that record in a store which hosts they
// divide the limits by. It divides by DivideSmall.
func NewRecordedMachine(shares Shares, bounds RecordedBounds) *Machine {
	m := NewMachine(shares, DivideSmall)
	m.recorded, m.bounds = true, bounds
	return m
}

// RecordedBounds are times within which hosts that record their divisions may differ.
type RecordedBounds struct {
	// EraKeep is how long the host goes on with its shares after the store has come back from
	// an older copy, which may lack records. It writes its own again meanwhile.
	EraKeep time.Duration
	// VersionWait is how long another host may hold shares by an earlier configuration than
	// the one that this host has read.
	VersionWait time.Duration
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.out = nil
	at := now.Instant
	switch in := in.(type) {
	case machine.Tick:
		m.tick(at)
	case Demand:
		m.handleDemand(at, in.Customer)
	case machine.Received:
		m.receive(at, in)
	case machine.ViewChanged:
		m.handleView(at, in.View)
	case machine.LeaseChanged:
		m.leaseUntil = in.ValidUntil
		m.shares.SetLease(in.ValidUntil)
	case SetCustomers:
		m.setCustomers(at, in)
	case Succession:
		m.successor = true
	case SharesFrom:
		m.sharesFrom = in.At
	}
	m.flush(at)
	return m.out
}

func (m *Machine) tick(now machine.Instant) {
	period := now.Sub(m.lastTick)
	if period < adjustInterval/2 {
		return
	}
	m.lastTick = now
	m.endKeeping(now)
	m.applyShares(now)
	m.settle(now)
	poolCheck := now >= m.nextPoolCheck
	if poolCheck {
		m.nextPoolCheck = now.Add(poolInterval)
	}
	for _, a := range m.accounts {
		m.expireLoans(a, now)
		a.usage = m.shares.Observe(a.id, true)
		a.forecast.observe(a.usage.Arrived, period)
		if poolCheck {
			m.updatePooling(a, now)
		}
		m.borrow(a, now)
		m.renewLoans(a, now)
	}
	m.expireSent(now)
	m.advertise(now)
}

// updatePooling decides whether this host collects the units of the customer.
func (m *Machine) updatePooling(a *account, now machine.Instant) {
	pooling := m.shouldPool(a, now)
	if pooling == a.pooling {
		return
	}
	a.pooling = pooling
	text := "this host no longer pools the customer's units"
	if pooling {
		text = "this host pools the customer's units"
	}
	m.event(eventPool, a.id, text)
}

func (m *Machine) event(kind string, customer fleet.Customer, text string) {
	m.out = append(m.out, machine.Event{Kind: kind, Customer: customer, Subject: string(m.view.Self.Host), Text: text})
}

// expireLoans removes the loans that have ended.
func (m *Machine) expireLoans(a *account, now machine.Instant) {
	// Sublent loans end before the borrowed loans that they come from.
	changed := a.expireLent(now)
	a.expireBorrowed(now)
	if changed {
		m.publishUnits(a)
	}
}

func (m *Machine) handleDemand(now machine.Instant, customer fleet.Customer) {
	a := m.index[customer]
	if a == nil {
		return
	}
	m.expireLoans(a, now)
	a.usage = m.shares.Observe(a.id, false)
	m.borrow(a, now)
}

func (m *Machine) receive(now machine.Instant, in machine.Received) {
	m.lastSeen[in.From.Host] = now
	switch message := in.Message.(type) {
	case Request:
		m.handleRequest(now, in.From, message)
	case Grant:
		m.handleGrant(now, in.From, message)
	case Return:
		m.handleReturn(now, in.From, message)
	case Spare:
		m.handleSpare(now, in.From, message)
	}
}

func (m *Machine) setCustomers(now machine.Instant, in SetCustomers) {
	if in.Revision <= m.revision {
		return
	}
	m.revision = in.Revision
	m.event(eventRevision, "", fmt.Sprintf("revision %d with %d customers in force", in.Revision, len(in.Customers)))
	for _, a := range m.accounts {
		a.active = false
	}
	for _, c := range in.Customers {
		a, known := m.account(c.ID)
		a.rate, a.burst, a.active = c.Rate, c.Burst, true
		m.expireLoans(a, now)
		m.shares.SetLimit(a.id, a.rate, a.burst)
		a.division = m.divisionOf(a)
		a.allotted = m.allotted.units(a.id, a.burst)
		_, removedLately := m.removed[c.ID]
		switch {
		case known || removedLately:
		case m.recorded:
			a.base.set(m.unitsOf(a), 0, max(now, m.shareFrom))
		default:
			a.base = m.base.forNewCustomer(m.unitsOf(a), a.division != nil)
		}
		// Hosts that have not read this revision divide the limit by an earlier burst.
		a.base.set(m.unitsOf(a), 0, now.Add(max(increaseDelay, m.bounds.VersionWait)))
		m.publishUnits(a)
	}
	maps.DeleteFunc(m.removed, func(_ fleet.Customer, at machine.Instant) bool { return now.Sub(at) >= m.bounds.VersionWait })
	m.accounts = slices.DeleteFunc(m.accounts, func(a *account) bool {
		if a.active {
			return false
		}
		m.removeCustomer(a)
		m.removed[a.id] = now
		if len(a.lent) > 0 {
			return false
		}
		delete(m.index, a.id)
		return true
	})
}

// removeCustomer removes a customer from the traffic side. Its borrowed loans expire at
// their lenders.
func (m *Machine) removeCustomer(a *account) {
	m.shares.Remove(a.id)
	a.rate, a.burst = 0, 0
	a.borrowed, a.pendingRequests = nil, nil
	a.forecast = forecast{}
}

// account returns the account of a customer and whether there was one before.
func (m *Machine) account(id fleet.Customer) (a *account, known bool) {
	if a := m.index[id]; a != nil {
		return a, true
	}
	a = newAccount(id)
	m.index[id] = a
	at, _ := slices.BinarySearchFunc(m.accounts, a, func(x, y *account) int { return cmp.Compare(x.id, y.id) })
	m.accounts = slices.Insert(m.accounts, at, a)
	return a, false
}

// handleView applies a new view. A decrease of the base share applies at once, or, if it
// is recorded, when the loans of the larger one have ended. The part of a host that others
// use now is given up at once in either case.
func (m *Machine) handleView(now machine.Instant, view *fleet.View) {
	if view.Self != m.view.Self && m.view.Self != (fleet.Member{}) {
		m.resetIncarnation()
	}
	if m.recorded && view.Era != m.view.Era && len(m.view.Members) > 0 {
		m.beginEra(now)
	}
	redivide := !sameDivisions(m.view, view)
	reallot := m.recorded && (redivide || m.view.Self != view.Self || m.view.Era != view.Era || !sameRecords(m.view, view))
	m.view, m.viewAt = view, now
	before := m.allotted
	if reallot {
		m.setAllotment(now)
	}
	m.updateDivisions(redivide, reallot)
	reduceAt := machine.Instant(0)
	if m.recorded && !m.allotted.lost(before) {
		reduceAt = m.settleAt
	}
	if !m.keepsShares(now) {
		m.setBase(now, m.ownWeight(), reduceAt)
	}
	m.dropStaleLoans()
	self := view.Find(view.Self.Host)
	leaving := self != nil && self.Member == view.Self && self.State == fleet.StateLeaving
	if leaving && !m.leaving {
		for _, a := range m.accounts {
			m.returnAllLoans(a)
		}
	}
	m.leaving = leaving
	m.removeStalePeers()
}

// ownWeight returns the share of all limits that the current view gives to this host.
func (m *Machine) ownWeight() int64 {
	if m.recorded {
		return min(heldWeight(m.view), m.allotted.weight())
	}
	if self := m.view.Find(m.view.Self.Host); self != nil && self.Member == m.view.Self {
		return int64(self.Weight)
	}
	return 0
}

// heldWeight returns the weights of the members whose shares this host uses.
func heldWeight(view *fleet.View) int64 {
	sum := int64(0)
	for i := range view.Members {
		if view.Members[i].Holder == view.Self.Host {
			sum += int64(view.Members[i].Weight)
		}
	}
	return sum
}

// dropStaleLoans drops loans whose lender now runs as another incarnation: its
// successor holds the units again. Loans that are sublent expire instead.
func (m *Machine) dropStaleLoans() {
	for _, a := range m.accounts {
		a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool {
			peer := m.view.Find(l.key.Lender.Host)
			if l.sublent > 0 || peer == nil || peer.Incarnation.IsZero() || peer.Member == l.key.Lender {
				return false
			}
			m.shares.DropLoan(a.id, l.key)
			return true
		})
	}
}

func (m *Machine) publishUnits(a *account) {
	if a.active {
		m.shares.Deposit(a.id, a.heldUnits(), 0)
	}
}

// resetIncarnation discards the state of an earlier incarnation of this process.
// Its loans ended before its share was given to others.
func (m *Machine) resetIncarnation() {
	m.base, m.leaseUntil, m.joined, m.shareFrom, m.joinAt = baseShare{}, 0, false, 0, 0
	m.shares.SetJoined(false)
	m.shares.Reset()
	m.sent = map[uint64]sentRequest{}
	for _, a := range m.accounts {
		a.base, a.lent, a.borrowed, a.pendingRequests = baseShare{}, nil, nil, nil
	}
}

// removeStalePeers removes the state of incarnations that left the view.
func (m *Machine) removeStalePeers() {
	present := make(map[fleet.Member]bool, len(m.view.Members))
	hosts := make(map[fleet.HostID]bool, len(m.view.Members))
	for i := range m.view.Members {
		present[m.view.Members[i].Member] = true
		hosts[m.view.Members[i].Host] = true
	}
	for _, lastSequences := range []map[fleet.Member]uint64{m.lastSequences, m.lastSpareSequences} {
		for member := range lastSequences {
			if !present[member] {
				delete(lastSequences, member)
			}
		}
	}
	for host := range m.lastSeen {
		if !hosts[host] {
			delete(m.lastSeen, host)
		}
	}
	for _, a := range m.accounts {
		for host := range a.peerSpares {
			if !hosts[host] {
				delete(a.peerSpares, host)
			}
		}
	}
}
