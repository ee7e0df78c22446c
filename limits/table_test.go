package limits

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// fullTable returns a table with a full bucket that does not refill.
func fullTable(clock traffic.Clock, burst float64, post func(machine.Input)) *Table {
	t := NewTable(clock, post)
	t.SetLease(never)
	t.SetLimit("c", 0, burst)
	t.Deposit("c", HeldUnits{Own: fleet.TotalWeight}, burst)
	return t
}

func ignore(machine.Input) {}

// TestAdmitConcurrent guards against a token that two goroutines both spend.
func TestAdmitConcurrent(t *testing.T) {
	table := fullTable(&manualClock{}, 1000, ignore)
	var admitted atomic.Int64
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 250 {
				if x := table.Begin("c"); x.result != nil {
					admitted.Add(1)
				}
				table.Observe("c", true)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 1000, admitted.Load())
}

// TestAdmitWaitsForLoan guards against the refusal of a request although a loan
// arrives while it waits, and against a machine that gets no Demand for it.
func TestAdmitWaitsForLoan(t *testing.T) {
	demands := make(chan machine.Input, QueueLength)
	table := fullTable(&manualClock{}, 10, func(in machine.Input) { demands <- in })
	table.Withdraw("c", fleet.TotalWeight, HeldUnits{}, 10)
	var group conc.WaitGroup
	group.Go(func() {
		admission, err := table.Admit(context.Background(), "c")
		require.NoError(t, err)
		require.True(t, admission.Valid())
	})
	require.Equal(t, Demand{Customer: "c"}, <-demands)
	table.AddLoan("c", LoanKey{ID: 1}, 200_000, 1, never)
	group.Wait()
}

// TestAdmitEndsWithContext guards against queued requests whose context has ended.
func TestAdmitEndsWithContext(t *testing.T) {
	table := fullTable(&manualClock{}, 0, ignore)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := table.Admit(ctx, "c")
	var refusal *problem.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, problem.KindDeadlineExceeded, refusal.Kind)
	require.Zero(t, table.Observe("c", true).Waiting)
}

// TestQueueBounds guards against a queue that grows or waits without bound, and
// against a refusal without a retry time.
func TestQueueBounds(t *testing.T) {
	clock := &manualClock{}
	table := fullTable(clock, 0, ignore)
	attempts := make([]*Attempt, QueueLength+1)
	for i := range attempts {
		attempts[i] = table.Begin("c")
	}
	done, _, err := attempts[QueueLength].Poll()
	require.True(t, done)
	var refusal *problem.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, problem.KindRateExceeded, refusal.Kind)
	require.Equal(t, problem.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	clock.at = clock.at.Add(MaxWait)
	done, _, err = attempts[0].Poll()
	require.True(t, done)
	require.ErrorAs(t, err, &refusal)
	require.Zero(t, table.Observe("c", true).Waiting)
}

// TestQueuePerCustomer guards against a customer whose queue delays other customers.
func TestQueuePerCustomer(t *testing.T) {
	table := fullTable(&manualClock{}, 0, ignore)
	for range QueueLength {
		table.Begin("c")
	}
	table.SetLimit("d", 0, 1)
	table.Deposit("d", HeldUnits{Own: fleet.TotalWeight}, 1)
	require.NotNil(t, table.Begin("d").result)
}

// TestValid guards against a request that is forwarded after its token was lost:
// the lease ended or was renewed after a gap, the loan behind the token ended,
// or the customer was removed.
func TestValid(t *testing.T) {
	clock := &manualClock{}
	table := fullTable(clock, 2, ignore)
	table.Withdraw("c", fleet.TotalWeight, HeldUnits{}, 2)
	table.SetLease(clock.at.Add(10 * time.Second))
	table.AddLoan("c", LoanKey{ID: 1}, fleet.TotalWeight, 2, clock.at.Add(time.Second))
	first, second := table.Begin("c").result, table.Begin("c").result
	require.True(t, first.Valid())
	clock.at = clock.at.Add(900 * time.Millisecond)
	table.ExtendLoan("c", LoanKey{ID: 1}, clock.at.Add(time.Second))
	clock.at = clock.at.Add(900 * time.Millisecond)
	require.True(t, first.Valid(), "the loan was renewed")
	clock.at = clock.at.Add(200 * time.Millisecond)
	require.False(t, second.Valid(), "the loan ended")

	table.Deposit("c", HeldUnits{Own: fleet.TotalWeight}, 2)
	third := table.Begin("c").result
	require.True(t, third.Valid())
	clock.at = clock.at.Add(10 * time.Second)
	require.False(t, third.Valid(), "the lease ended")
	table.SetLease(clock.at.Add(10 * time.Second))
	require.False(t, third.Valid(), "the lease was renewed after a gap")
	fourth := table.Begin("c").result
	require.True(t, fourth.Valid())
	table.Remove("c")
	require.False(t, fourth.Valid(), "the customer was removed")
}

// TestLoanEndedBeforeItIsAdded guards against tokens of a loan that ended while
// the control loop was paused before adding it to the table.
func TestLoanEndedBeforeItIsAdded(t *testing.T) {
	clock := &manualClock{at: machine.Instant(time.Second)}
	table := fullTable(clock, 10, ignore)
	table.Withdraw("c", fleet.TotalWeight, HeldUnits{}, 10)
	waiting := table.Begin("c")
	table.AddLoan("c", LoanKey{ID: 1}, fleet.TotalWeight, 10, clock.at)
	done, _, _ := waiting.Poll()
	require.False(t, done)
}

// TestRefund guards against a refund that is lost while tokens are short, and
// against one that counts twice.
func TestRefund(t *testing.T) {
	clock := &manualClock{}
	table := fullTable(clock, 4, ignore)
	first := table.Begin("c").result
	table.Begin("c")
	clock.at = clock.at.Add(2 * refundPeriod)
	table.Observe("c", true)
	clock.at = clock.at.Add(refundPeriod)
	table.Observe("c", true)
	first.Refund()
	require.EqualValues(t, 2, table.Holding("c").Tokens, "two periods have passed")
	second := table.Begin("c").result
	second.Refund()
	second.Refund()
	require.EqualValues(t, 2, table.Holding("c").Tokens)
}

// monotonicClock reads the monotonic clock.
type monotonicClock struct{ start time.Time }

func (c monotonicClock) Now() machine.Now {
	return machine.Now{Instant: machine.Instant(time.Since(c.start)), WallMillis: 0}
}

// BenchmarkAdmit measures an admission while the bucket holds tokens.
func BenchmarkAdmit(b *testing.B) {
	table := fullTable(monotonicClock{time.Now()}, 1e15, ignore)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Admit(ctx, "c"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdmitParallel measures admissions of one customer from all threads.
func BenchmarkAdmitParallel(b *testing.B) {
	table := fullTable(monotonicClock{time.Now()}, 1e15, ignore)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := table.Admit(ctx, "c"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against the refusal of a request that is within the limit because the
// loan behind its token ended during a slow claim, and against admitting it without
// a token: the replacement is taken from the bucket.
func TestValidTakesAnotherToken(t *testing.T) {
	clock := &manualClock{}
	table := fullTable(clock, 2, ignore)
	table.Withdraw("c", fleet.TotalWeight, HeldUnits{}, 2)
	table.AddLoan("c", LoanKey{ID: 1}, fleet.TotalWeight, 1, clock.at.Add(time.Second))
	admission := table.Begin("c").result
	clock.at = clock.at.Add(time.Second)
	require.False(t, admission.Valid(), "the bucket holds no other token")
	table.AddLoan("c", LoanKey{ID: 2}, fleet.TotalWeight, 1, clock.at.Add(time.Second))
	require.True(t, admission.Valid())
	require.True(t, admission.Valid(), "one token is enough for repeated checks")
	require.Nil(t, table.Begin("c").result, "the replacement was taken from the bucket")
}

// Guards against a customer beyond its rate whose requests all wait for MaxWait in a
// queue that never empties, and against a queue that stays short after the customer
// is within its rate again.
func TestQueueOfACustomerBeyondItsRateIsShort(t *testing.T) {
	p := newPair(t, 10, 100)
	table, clock := p.tables[0], p.clock
	waiting := func() int { return table.Observe("c", false).Waiting }
	arrive := func(n int) {
		for range n {
			table.Begin("c")
		}
	}
	arrive(100)
	require.Greater(t, waiting(), 40, "a burst may wait")
	for range 30 {
		clock.at = clock.at.Add(50 * time.Millisecond)
		arrive(5)
	}
	require.Equal(t, overloadQueueLength, waiting())
	admitted := table.Observe("c", false).Admitted
	for range 100 {
		clock.at = clock.at.Add(50 * time.Millisecond)
		arrive(5)
	}
	require.InDelta(t, 25, table.Observe("c", false).Admitted-admitted, 1, "no token of the 5 a second is lost")

	for range 100 {
		clock.at = clock.at.Add(500 * time.Millisecond)
		arrive(1)
	}
	require.Zero(t, waiting())
	arrive(100)
	require.Greater(t, waiting(), 40, "the next burst may wait again")
}
