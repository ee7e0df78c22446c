package limits

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// manualClock is a clock that tests set.
type manualClock struct{ at machine.Instant }

func (c *manualClock) Now() machine.Now { return machine.Now{Instant: c.at} }

// pair is two hosts with half of the weight each, and their undelivered messages.
type pair struct {
	clock    *manualClock
	tables   [2]*Table
	machines [2]*Machine
	members  [2]fleet.Member
	sent     []machine.Send
}

func newPair(t *testing.T, rate, burst float64) *pair {
	t.Helper()
	p := &pair{clock: &manualClock{at: machine.Instant(time.Hour)}}
	for i := range p.members {
		p.members[i] = fleet.Member{Host: fleet.HostID(rune('a' + i)), Incarnation: fleet.Incarnation{byte(i + 1)}}
	}
	for i := range p.machines {
		p.tables[i] = NewTable(p.clock, func(machine.Input) {})
		p.machines[i] = NewMachine(p.tables[i], nil)
		p.step(i, machine.LeaseChanged{ValidUntil: p.clock.at.Add(time.Hour)})
		p.step(i, SetCustomers{Revision: 1, Customers: []CustomerLimit{{ID: "c", Rate: rate, Burst: burst}}})
		p.step(i, p.view(i, fleet.TotalWeight/2))
	}
	p.run(increaseDelay + 100*time.Second)
	p.sent = nil
	return p
}

func (p *pair) view(self int, weight uint32) machine.ViewChanged {
	v := &fleet.View{Self: p.members[self]}
	for _, m := range p.members {
		v.Members = append(v.Members, fleet.ViewMember{Member: m, State: fleet.StateActive, Weight: weight, Reachable: true})
	}
	return machine.ViewChanged{View: v}
}

func (p *pair) step(i int, in machine.Input) {
	for _, out := range p.machines[i].Step(p.clock.Now(), in) {
		if s, ok := out.(machine.Send); ok {
			p.sent = append(p.sent, s)
		}
	}
}

// run ticks both machines and delivers nothing.
func (p *pair) run(d time.Duration) {
	for end := p.clock.at.Add(d); p.clock.at < end; {
		p.clock.at = min(end, p.clock.at.Add(50*time.Millisecond))
		for i := range p.machines {
			p.step(i, machine.Tick{})
		}
	}
}

// exchange delivers messages until none are left.
func (p *pair) exchange() {
	for len(p.sent) > 0 {
		s := p.sent[0]
		p.sent = p.sent[1:]
		p.deliver(s)
	}
}

func (p *pair) deliver(s machine.Send) {
	to := 0
	if s.To == p.members[1].Host {
		to = 1
	}
	p.step(to, machine.Received{From: p.members[1-to], Message: s.Message})
}

// requestLoan makes host 0 request units from host 1 and returns the grant,
// undelivered.
func (p *pair) requestLoan(t *testing.T, units uint32) machine.Send {
	t.Helper()
	p.machines[0].requestTo(p.members[1].Host).Wants = []Want{{Customer: "c", Units: units, Purpose: ForWaiting}}
	p.machines[0].flush(p.clock.at)
	p.deliver(p.machines[0].out[0].(machine.Send))
	for _, s := range p.sent {
		if g, ok := s.Message.(Grant); ok && len(g.Loans) == 1 && g.Loans[0].Units == units {
			p.sent = nil
			return s
		}
	}
	require.Fail(t, "no grant")
	return machine.Send{}
}

func (p *pair) totalBurst() float64 {
	return p.tables[0].Holding("c").Burst + p.tables[1].Holding("c").Burst
}

// TestGrantOnce guards against a loan that counts twice or too late: by a duplicate
// grant, a duplicate after the loan was returned, a grant to an earlier incarnation
// of the borrower, or a grant that arrives after the end of the loan.
func TestGrantOnce(t *testing.T) {
	p := newPair(t, 10, 10)
	grant := p.requestLoan(t, 100_000)
	p.deliver(grant)
	p.deliver(grant)
	require.InDelta(t, 10, p.totalBurst(), 1e-9)
	p.machines[0].returnAllLoans(p.machines[0].index["c"])
	returned := p.machines[0].out[len(p.machines[0].out)-1].(machine.Send)
	p.deliver(returned)
	p.deliver(grant)
	require.InDelta(t, 10, p.totalBurst(), 1e-9)

	p = newPair(t, 10, 10)
	grant = p.requestLoan(t, 100_000)
	message := grant.Message.(Grant)
	message.To = fleet.Incarnation{99}
	p.deliver(machine.Send{To: grant.To, Message: message})
	require.InDelta(t, 9, p.totalBurst(), 1e-9)

	p = newPair(t, 10, 10)
	grant = p.requestLoan(t, 100_000)
	p.run(LoanDuration)
	p.deliver(grant)
	require.InDelta(t, 9, p.totalBurst(), 1e-9)
	p.run(time.Second)
	require.InDelta(t, 10, p.totalBurst(), 1e-9)
}

// TestReturnOnce guards against tokens that are returned twice with one loan.
func TestReturnOnce(t *testing.T) {
	p := newPair(t, 10, 10)
	grant := p.requestLoan(t, 100_000)
	p.deliver(grant)
	before := p.tables[0].Holding("c").Tokens + p.tables[1].Holding("c").Tokens
	p.machines[0].returnAllLoans(p.machines[0].index["c"])
	returned := p.machines[0].out[len(p.machines[0].out)-1].(machine.Send)
	p.tables[1].Begin("c")
	p.deliver(returned)
	p.deliver(returned)
	after := p.tables[0].Holding("c").Tokens + p.tables[1].Holding("c").Tokens
	require.InDelta(t, before-1, after, 1e-3)
}

// TestLoanWithinLease guards against a loan that outlives its lender's lease.
func TestLoanWithinLease(t *testing.T) {
	p := newPair(t, 10, 10)
	p.step(1, machine.LeaseChanged{ValidUntil: p.clock.at.Add(time.Second)})
	grant := p.requestLoan(t, 100_000).Message.(Grant)
	require.Less(t, grant.Millis, uint32(1000))
}

// TestRenewalNearLeaseEnd guards against a renewal that is shorter than the loan
// and makes the lender reuse the units before the borrower's end.
func TestRenewalNearLeaseEnd(t *testing.T) {
	p := newPair(t, 10, 10)
	grant := p.requestLoan(t, 100_000)
	p.deliver(grant)
	p.step(1, machine.LeaseChanged{ValidUntil: p.clock.at.Add(500 * time.Millisecond)})
	id := grant.Message.(Grant).Loans[0].ID
	p.deliver(machine.Send{To: p.members[1].Host, Message: Request{Sequence: 1 << 32, Renewals: []uint64{id}}})
	p.step(1, machine.LeaseChanged{ValidUntil: p.clock.at.Add(time.Hour)})
	p.clock.at = p.clock.at.Add(LoanDuration - time.Millisecond)
	p.step(1, machine.Tick{})
	require.LessOrEqual(t, p.totalBurst(), 10+1e-9)
}

// TestShrinkWhileLent guards against use of a base share that became smaller than
// what is lent of it, and against an increase while loans of the hosts whose share
// decreased may still run.
func TestShrinkWhileLent(t *testing.T) {
	p := newPair(t, 10, 10)
	p.deliver(p.requestLoan(t, 400_000))
	p.step(1, p.view(1, 200_000))
	require.Zero(t, p.tables[1].Holding("c").Burst)
	grown := p.view(0, 800_000)
	p.step(0, grown)
	p.run(LoanDuration + driftMargin(LoanDuration) - 50*time.Millisecond)
	require.LessOrEqual(t, p.totalBurst(), 10+1e-9)
	p.run(time.Second)
	require.InDelta(t, 10, p.totalBurst(), 1e-9)
}

// TestWholeToken guards against a burst of few tokens of which every host holds a
// fraction of one, so that none can admit a request.
func TestWholeToken(t *testing.T) {
	p := newPair(t, 1, 1.5)
	p.run(spareInterval)
	p.exchange()
	attempt := p.tables[0].Begin("c")
	p.step(0, Demand{Customer: "c"})
	p.exchange()
	done, admission, err := attempt.Poll()
	require.NoError(t, err)
	require.True(t, done)
	require.True(t, admission.Valid())
}

// TestLeavingReturnsLoans guards against units that a leaving host keeps.
func TestLeavingReturnsLoans(t *testing.T) {
	p := newPair(t, 10, 10)
	p.deliver(p.requestLoan(t, 400_000))
	view := p.view(0, fleet.TotalWeight/2)
	view.View.Members[0].State = fleet.StateLeaving
	p.step(0, view)
	p.exchange()
	require.InDelta(t, 5, p.tables[1].Holding("c").Burst, 1e-9)
}

// TestRevisionsOutOfOrder guards against a limit that reverts to an earlier
// revision, and against units that are returned to a customer that is removed and
// added again while they are lent.
func TestRevisionsOutOfOrder(t *testing.T) {
	p := newPair(t, 10, 10)
	p.deliver(p.requestLoan(t, 400_000))
	p.step(1, SetCustomers{Revision: 3})
	p.step(1, SetCustomers{Revision: 4, Customers: []CustomerLimit{{ID: "c", Rate: 8, Burst: 8}}})
	p.step(1, SetCustomers{Revision: 2, Customers: []CustomerLimit{{ID: "c", Rate: 20, Burst: 20}}})
	held := p.tables[1].Holding("c")
	require.InDelta(t, 0.8, held.Burst, 1e-9)
	require.Zero(t, held.Tokens)
}

// TestMessagesEncode guards against messages that lose fields on the wire.
func TestMessagesEncode(t *testing.T) {
	grant := Grant{Sequence: 7, To: fleet.Incarnation{1}, Millis: 2000, Renewed: []uint64{3}, Loans: []Loan{
		{Customer: "c", ID: 1, Units: 2, Microtokens: 3, Millis: 4, Spare: 5, Stored: 6},
	}}
	for _, kind := range Messages() {
		require.GreaterOrEqual(t, kind.Number, uint16(300))
		require.Less(t, kind.Number, uint16(400))
	}
	encoded, err := cbor.Marshal(grant)
	require.NoError(t, err)
	pointer := Messages()[1].New()
	require.NoError(t, cbor.Unmarshal(encoded, pointer))
	require.Equal(t, grant, Messages()[1].Value(pointer))
}

// Guards against a fleet that refuses everything for the duration of a loan after all
// of its processes were replaced: a successor takes over the share after
// successionDelay, without tokens, and borrowers drop its predecessor's loans.
func TestSuccessorTakesOverShareOfPredecessor(t *testing.T) {
	p := newPair(t, 10, 100)
	p.exchange()
	p.deliver(p.requestLoan(t, fleet.TotalWeight/10))
	require.InDelta(t, 60, p.tables[0].Holding("c").Burst, 0.01)

	p.members[1].Incarnation = fleet.Incarnation{9}
	p.tables[1] = NewTable(p.clock, func(machine.Input) {})
	p.machines[1] = NewMachine(p.tables[1], nil)
	p.step(1, machine.LeaseChanged{ValidUntil: p.clock.at.Add(time.Hour)})
	p.step(1, SetCustomers{Revision: 1, Customers: []CustomerLimit{{ID: "c", Rate: 10, Burst: 100}}})
	p.step(1, Succession{})
	p.step(1, p.view(1, fleet.TotalWeight/2))
	p.step(0, p.view(0, fleet.TotalWeight/2))
	require.InDelta(t, 50, p.tables[0].Holding("c").Burst, 0.01, "the loan of the dead lender is dropped")
	require.Zero(t, p.tables[1].Holding("c").Burst)
	p.run(successionDelay + 100*time.Millisecond)
	require.InDelta(t, 50, p.tables[1].Holding("c").Burst, 0.01)
	require.LessOrEqual(t, p.tables[1].Holding("c").Tokens, 1.0, "a successor starts without tokens")
}
