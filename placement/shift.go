package placement

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	bytesPerMbit = 1_000_000 / 8
	// shiftCapMargin leaves room for response sizes that are larger than estimated.
	shiftCapMargin = 0.9
	// shiftBurstTime is the traffic that may be shifted at once.
	shiftBurstTime = 250 * time.Millisecond
	// shareHalfLife is the memory of the measured share of shifted traffic.
	shareHalfLife = time.Second
	// shiftIdleTime is the time without need after which the ramp goes back.
	shiftIdleTime = 2 * time.Second
	// responseEstimateWeight is the weight of one response in the size estimate.
	responseEstimateWeight = 0.05
)

// ShiftCap bounds the traffic of one route between this host's region and others.
type ShiftCap struct {
	// Mbit is the fleet's bound in Mbit/s for each pair of regions.
	Mbit float64
	// SharePerSecond bounds the growth of the shifted share, per second.
	SharePerSecond float64
}

// shifter keeps this host's part of a route's shift caps. Every host gets the
// part of the cap that its roster weight gives it, so the sum over all hosts
// stays under the cap without any message.
type shifter struct {
	cap     ShiftCap
	weight  float64
	buckets map[fleet.Region]*byteBucket

	response float64
	ramp     float64
	rampAt   machine.Instant
	total    decayingCount
	shifted  decayingCount
}

type byteBucket struct {
	tokens float64
	at     machine.Instant
}

func newShifter(cap ShiftCap, weight float64) *shifter {
	return &shifter{cap: cap, weight: weight, buckets: map[fleet.Region]*byteBucket{}}
}

// arrived counts a request of the route.
func (s *shifter) arrived(now machine.Instant) {
	s.total.add(now, 1)
}

// allow decides whether a request may go to another region, and charges it. The
// returned charge has to be passed to settle.
func (s *shifter) allow(now machine.Instant, region fleet.Region, requestBytes int) (charge float64, ok bool) {
	s.advanceRamp(now)
	if s.shifted.value(now)+1 > s.ramp*s.total.value(now)+1 {
		return 0, false
	}
	bucket := s.refill(now, region)
	charge = float64(requestBytes) + s.response
	if bucket.tokens < charge {
		return 0, false
	}
	bucket.tokens -= charge
	s.shifted.add(now, 1)
	return charge, true
}

// settle corrects the charge of a shifted request by its real size. The bucket
// may go below zero; nothing is shifted until the debt is paid.
func (s *shifter) settle(now machine.Instant, region fleet.Region, charge float64, requestBytes, responseBytes int) {
	bucket := s.refill(now, region)
	bucket.tokens += charge - float64(requestBytes+responseBytes)
	s.response += responseEstimateWeight * (float64(responseBytes) - s.response)
}

func (s *shifter) rate() float64 {
	return s.cap.Mbit * bytesPerMbit * s.weight * shiftCapMargin
}

func (s *shifter) refill(now machine.Instant, region fleet.Region) *byteBucket {
	limit := s.rate() * shiftBurstTime.Seconds()
	bucket, known := s.buckets[region]
	if !known {
		// A new bucket starts empty: a restarted host must not get a second burst.
		bucket = &byteBucket{at: now}
		s.buckets[region] = bucket
	}
	bucket.tokens = min(limit, bucket.tokens+s.rate()*now.Sub(bucket.at).Seconds())
	bucket.at = now
	return bucket
}

// advanceRamp moves the allowed share up while shifting is needed and down
// while it is not.
func (s *shifter) advanceRamp(now machine.Instant) {
	elapsed := now.Sub(s.rampAt)
	if s.rampAt == 0 {
		elapsed = 0
	}
	s.rampAt = now
	if elapsed > shiftIdleTime {
		s.ramp = max(0, s.ramp-s.cap.SharePerSecond*elapsed.Seconds())
		return
	}
	s.ramp = min(1, s.ramp+s.cap.SharePerSecond*elapsed.Seconds())
}

// decayingCount counts events with an exponentially decaying weight.
type decayingCount struct {
	sum float64
	at  machine.Instant
}

func (c *decayingCount) value(now machine.Instant) float64 {
	return c.sum * math.Exp2(-float64(now.Sub(c.at))/float64(shareHalfLife))
}

func (c *decayingCount) add(now machine.Instant, n float64) {
	c.sum = c.value(now) + n
	c.at = now
}
