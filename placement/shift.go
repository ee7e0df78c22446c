package placement

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	bytesPerMbit = 1_000_000 / 8
	// shiftCapMargin leaves a margin for responses that are larger than estimated.
	shiftCapMargin = 0.9
	// shiftBurstTime is the burst size of the token bucket, as a time at full rate.
	shiftBurstTime = 250 * time.Millisecond
	// shareHalfLife is the half-life of the counts behind the shifted share.
	shareHalfLife = time.Second
	// shiftIdleTime is the time without a shift attempt after which the allowed
	// share goes down again.
	shiftIdleTime = 2 * time.Second
	// responseEstimateWeight is the EWMA weight of one response size.
	responseEstimateWeight = 0.05
)

// ShiftCap bounds the traffic that one route shifts to other regions.
type ShiftCap struct {
	// Mbit is the limit of the whole fleet in Mbit/s for each pair of regions.
	Mbit float64
	// SharePerSecond bounds the growth of the shifted share of requests per second.
	SharePerSecond float64
}

// shifter enforces this host's share of a route's shift cap. Every host gets a
// share in proportion to its roster weight, so the sum over all hosts stays under
// the cap without any messages.
type shifter struct {
	cap     ShiftCap
	weight  float64
	buckets map[fleet.Region]*byteBucket

	avgResponseBytes float64
	allowedShare     float64
	allowedShareAt   machine.Instant
	total            decayingCount
	shifted          decayingCount
}

type byteBucket struct {
	tokens float64
	at     machine.Instant
}

func newShifter(cap ShiftCap, weight float64) *shifter {
	return &shifter{cap: cap, weight: weight, buckets: map[fleet.Region]*byteBucket{}}
}

// recordArrival counts a request of the route.
func (s *shifter) recordArrival(now machine.Instant) {
	s.total.add(now, 1)
}

// allow reports whether a request may go to another region, and charges its
// estimated size in bytes. The returned charge must be passed to settle.
func (s *shifter) allow(now machine.Instant, region fleet.Region, requestBytes int) (charge float64, ok bool) {
	s.updateAllowedShare(now)
	if s.shifted.value(now)+1 > s.allowedShare*s.total.value(now)+1 {
		return 0, false
	}
	bucket := s.refill(now, region)
	charge = float64(requestBytes) + s.avgResponseBytes
	if bucket.tokens < charge {
		return 0, false
	}
	bucket.tokens -= charge
	s.shifted.add(now, 1)
	return charge, true
}

// settle replaces the estimated charge of a shifted request by its real size. The
// bucket may go below zero; nothing is shifted until it is refilled.
func (s *shifter) settle(now machine.Instant, region fleet.Region, charge float64, requestBytes, responseBytes int) {
	bucket := s.refill(now, region)
	bucket.tokens += charge - float64(requestBytes+responseBytes)
	s.avgResponseBytes += responseEstimateWeight * (float64(responseBytes) - s.avgResponseBytes)
}

func (s *shifter) bytesPerSecond() float64 {
	return s.cap.Mbit * bytesPerMbit * s.weight * shiftCapMargin
}

func (s *shifter) refill(now machine.Instant, region fleet.Region) *byteBucket {
	capacity := s.bytesPerSecond() * shiftBurstTime.Seconds()
	bucket, known := s.buckets[region]
	if !known {
		// A new bucket starts empty, so that a restarted host gets no second burst.
		bucket = &byteBucket{at: now}
		s.buckets[region] = bucket
	}
	bucket.tokens = min(capacity, bucket.tokens+s.bytesPerSecond()*now.Sub(bucket.at).Seconds())
	bucket.at = now
	return bucket
}

// updateAllowedShare raises the allowed share while there are shift attempts and
// lowers it when they resume after shiftIdleTime.
func (s *shifter) updateAllowedShare(now machine.Instant) {
	elapsed := now.Sub(s.allowedShareAt)
	if s.allowedShareAt == 0 {
		elapsed = 0
	}
	s.allowedShareAt = now
	if elapsed > shiftIdleTime {
		s.allowedShare = max(0, s.allowedShare-s.cap.SharePerSecond*elapsed.Seconds())
		return
	}
	s.allowedShare = min(1, s.allowedShare+s.cap.SharePerSecond*elapsed.Seconds())
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
