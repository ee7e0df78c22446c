package limits

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

const (
	// fastWindow and slowWindow are the time constants of the moving averages of
	// arrivals. The fast one follows a surge; the slow one keeps loans over the gaps
	// in irregular demand.
	fastWindow = time.Second
	slowWindow = 8 * time.Second
	// rateHeadroom is the ratio of the wanted refill rate to the forecast demand.
	rateHeadroom = 1.05
	// idleRate is the demand, in requests per second, below which a host keeps no
	// units.
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

// observe updates the averages with the total number of arrivals after a period.
func (f *forecast) observe(arrived uint64, period time.Duration) {
	if period <= 0 {
		return
	}
	rate := float64(arrived-f.arrived) / period.Seconds()
	f.arrived = arrived
	f.fast += (rate - f.fast) * sampleWeight(period, fastWindow)
	f.slow += (rate - f.slow) * sampleWeight(period, slowWindow)
}

// sampleWeight returns the weight of a new sample in an exponential moving average.
func sampleWeight(period, window time.Duration) float64 {
	return 1 - math.Exp(-period.Seconds()/window.Seconds())
}

// rate returns the expected demand in requests per second.
func (f *forecast) rate() float64 {
	return max(f.fast, f.slow)
}

// units returns the units that the forecast demand needs for a customer's rate
// and burst. It is 0 if they would hold fewer than minTokens: such a host borrows
// tokens from the pool when a request arrives, because a share that holds few
// tokens refuses requests that another host's tokens could serve.
func (f *forecast) units(rate, burst, headroom float64) int64 {
	expected := f.rate()
	if expected < idleRate || rate <= 0 || burst <= 0 {
		return 0
	}
	refill := expected * headroom / rate
	// The queue absorbs what exceeds the capacity, so a small burst needs little more
	// than its share of the rate.
	capacity := min((1+math.Sqrt(expected)/2)/burst, 1.2*refill)
	share := max(refill, capacity)
	if share*burst < minTokens {
		return 0
	}
	return int64(math.Ceil(min(1, share) * fleet.TotalWeight))
}
