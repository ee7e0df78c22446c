package limits

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

const (
	// fastWindow and slowWindow are the time constants of the moving averages of
	// arrivals. The fast one follows a surge; the slow one keeps loans in place
	// over the pauses of an irregular demand.
	fastWindow = time.Second
	slowWindow = 8 * time.Second
	// rateHeadroom is the factor between forecast demand and wanted refill rate.
	rateHeadroom = 1.05
	// idleRate is the demand below which a host keeps nothing for itself.
	idleRate = 0.02
	// minTokens is the smallest capacity that a host keeps for its own demand. A
	// customer whose base shares hold less is pooled. At 4, customers with a burst of
	// 20 to 40 over 12 hosts waited for a pool in another region; see README.
	minTokens = 2
)

// forecast estimates the demand of one customer on this host.
type forecast struct {
	fast, slow float64
	arrived    uint64
}

// observe takes the number of arrivals after a period.
func (f *forecast) observe(arrived uint64, period time.Duration) {
	if period <= 0 {
		return
	}
	rate := float64(arrived-f.arrived) / period.Seconds()
	f.arrived = arrived
	f.fast += (rate - f.fast) * weight(period, fastWindow)
	f.slow += (rate - f.slow) * weight(period, slowWindow)
}

// weight returns the weight of a new sample in an exponential moving average.
func weight(period, window time.Duration) float64 {
	return 1 - math.Exp(-period.Seconds()/window.Seconds())
}

// rate returns the expected demand in requests a second.
func (f *forecast) rate() float64 {
	return max(f.fast, f.slow)
}

// units returns the units that the expected demand needs for a customer's rate
// and burst. It is 0 if they would hold fewer than minTokens: such a host takes
// tokens from the pool when a request comes, because a share that holds few
// tokens refuses requests that another host's tokens could serve.
func (f *forecast) units(rate, burst, headroom float64) int64 {
	expected := f.rate()
	if expected < idleRate || rate <= 0 || burst <= 0 {
		return 0
	}
	refill := expected * headroom / rate
	// The queue evens out what the capacity does not hold, so a small burst asks
	// for little more than its part of the rate.
	capacity := min((1+math.Sqrt(expected)/2)/burst, 1.2*refill)
	part := max(refill, capacity)
	if part*burst < minTokens {
		return 0
	}
	return int64(math.Ceil(min(1, part) * fleet.TotalWeight))
}
