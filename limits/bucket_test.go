package limits

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// The property tests draw the same cases in every run unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestBucketWindow guards against a window that admits more than the share of
// burst and rate, over arbitrary refills, loans, loan ends, lending and refunds.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		burst := rapid.Float64Range(1, 200).Draw(t, "burst")
		b := newBucket("c", 0)
		b.setLimit(rate, burst)
		b.deposit(HeldUnits{Own: fleet.TotalWeight / 2}, 0)
		var now machine.Instant
		var admissions []machine.Instant
		var refundable []uint64
		id := uint64(0)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(700*time.Millisecond)).Draw(t, "pause")))
			b.advance(now, never)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				for range rapid.IntRange(1, 250).Draw(t, "spends") {
					if b.spend() {
						admissions = append(admissions, now)
					}
				}
			case 2:
				if b.spend() {
					refundable = append(refundable, b.refunds.period)
				}
			case 3:
				for _, period := range refundable {
					b.refund(period)
				}
				refundable = nil
			case 4:
				// A loan of half of the units represents the share of a peer.
				if len(b.loans) == 0 {
					id++
					until := now.Add(time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "duration")))
					b.addLoan(heldLoan{key: LoanKey{ID: id}, units: fleet.TotalWeight / 2, until: until}, 0)
				}
			case 5:
				b.extendLoan(LoanKey{ID: id}, now.Add(time.Second))
			}
			require.LessOrEqual(t, b.level, b.capacity+1e-9)
			require.GreaterOrEqual(t, b.level, 0.0)
		}
		requireWindows(t, admissions, rate, burst)
	})
}

// requireWindows checks every window over a sequence of admissions.
func requireWindows(t require.TestingT, admissions []machine.Instant, rate, burst float64) {
	for i := range admissions {
		for k := i; k < len(admissions); k++ {
			bound := burst + rate*admissions[k].Sub(admissions[i]).Seconds()
			require.LessOrEqual(t, float64(k-i+1), bound+1e-6)
		}
	}
}

// TestBucketTransfer guards against tokens that are created while units move
// between two buckets: no more may arrive at one than left the other.
func TestBucketTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Float64Range(0.5, 1000).Draw(t, "burst")
		lender, borrower := newBucket("c", 0), newBucket("c", 0)
		for _, b := range []*bucket{lender, borrower} {
			b.setLimit(burst, burst)
			b.deposit(HeldUnits{Own: fleet.TotalWeight / 2}, 0)
			b.advance(machine.Instant(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "age"))), never)
		}
		total := lender.level + borrower.level
		units := rapid.Int64Range(1, fleet.TotalWeight/2).Draw(t, "units")
		tokens := lender.withdraw(units, HeldUnits{Own: fleet.TotalWeight/2 - units}, rapid.Float64Range(0, 2000).Draw(t, "wanted"))
		moved := float64(toMicrotokens(tokens)) * microtoken
		require.LessOrEqual(t, moved, tokens+1e-12)
		borrower.addLoan(heldLoan{key: LoanKey{ID: 1}, units: units, until: never}, moved)
		require.LessOrEqual(t, lender.level+borrower.level, total+1e-9)
		require.LessOrEqual(t, lender.capacity+borrower.capacity, burst+1e-9)
		_, returned := borrower.dropLoan(LoanKey{ID: 1})
		lender.deposit(HeldUnits{Own: fleet.TotalWeight / 2}, returned)
		require.LessOrEqual(t, lender.level+borrower.level, total+1e-9)
	})
}

// TestRefundOverflow guards against refunds on top of a burst that was refilled
// after the admission.
func TestRefundOverflow(t *testing.T) {
	b := newBucket("c", 0)
	b.setLimit(10, 10)
	b.deposit(HeldUnits{Own: fleet.TotalWeight}, 0)
	b.advance(machine.Instant(10*time.Second), never)
	for range 10 {
		require.True(t, b.spend())
	}
	period := b.refunds.period
	b.advance(machine.Instant(11*time.Second-10*time.Millisecond), never)
	for range 9 {
		require.True(t, b.spend())
	}
	refunded := 0
	for range 10 {
		if b.refund(period) {
			refunded++
		}
	}
	require.Zero(t, refunded, "level %v", math.Round(b.level))
}

// TestClockDrift guards against a host whose clock is fast by the drift bound of
// 0.1% and that refills more than the rate in real time.
func TestClockDrift(t *testing.T) {
	b := newBucket("c", 0)
	b.setLimit(100, 1e9)
	b.deposit(HeldUnits{Own: fleet.TotalWeight}, 0)
	b.advance(machine.Instant(1001*time.Second), never)
	require.LessOrEqual(t, b.level, 100*1000.0)
}
