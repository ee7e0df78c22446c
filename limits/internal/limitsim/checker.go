package limitsim

import (
	"fmt"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// tolerance covers rounding of floating-point numbers, in requests.
const tolerance = 1e-6

// Checker checks the admissions of one customer over all hosts: every window of
// length t has at most B + R*t of them. While several revisions are in force, their
// highest rate and burst apply.
type Checker struct {
	rate, burst float64
	at          machine.Instant
	// available is the number of requests that may be admitted now.
	available  float64
	admissions []admissionRecord
	refill     float64
	// OverAdmissions is the number of admissions beyond the limit. Later windows
	// treat them as not admitted.
	OverAdmissions int
}

// admissionRecord is one admission, with the total refill until then and the burst
// in force.
type admissionRecord struct {
	at     machine.Instant
	refill float64
	burst  float64
}

// NewChecker returns a checker for a customer whose buckets may be full.
func NewChecker(now machine.Instant, rate, burst float64) *Checker {
	return &Checker{rate: rate, burst: burst, at: now, available: burst}
}

// SetLimit changes the highest rate and burst in force.
func (c *Checker) SetLimit(now machine.Instant, rate, burst float64) {
	c.advance(now)
	c.rate, c.burst = rate, burst
	c.available = min(c.available, burst)
}

func (c *Checker) advance(now machine.Instant) {
	if now <= c.at {
		return
	}
	gained := c.rate * time.Duration(now-c.at).Seconds()
	c.refill += gained
	c.available = min(c.burst, c.available+gained)
	c.at = now
}

// Admit records an admission and reports whether it was within the limit.
func (c *Checker) Admit(now machine.Instant) bool {
	c.advance(now)
	c.admissions = append(c.admissions, admissionRecord{at: now, refill: c.refill, burst: c.burst})
	if c.available < 1-tolerance {
		c.OverAdmissions++
		return false
	}
	c.available--
	return true
}

// Admissions returns the number of admissions.
func (c *Checker) Admissions() int { return len(c.admissions) }

// AllWindows compares the admissions in every window with the limit and returns the
// first violation. It takes time quadratic in the number of admissions and verifies
// Admit by an independent method.
func (c *Checker) AllWindows() string {
	for i := range c.admissions {
		first := &c.admissions[i]
		for k := i; k < len(c.admissions); k++ {
			bound := first.burst + c.admissions[k].refill - first.refill
			if float64(k-i+1) > bound+tolerance {
				return fmt.Sprintf("%d admissions in %s where %.3f are allowed", k-i+1, time.Duration(c.admissions[k].at-first.at), bound)
			}
		}
	}
	return ""
}
