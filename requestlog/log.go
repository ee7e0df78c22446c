package requestlog

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/timeline"
)

const (
	// SampleInterval is the sampling interval of ordinary requests: one in this
	// many is kept.
	SampleInterval = 1000
	// Entries is the capacity of the ring of request events, about 4 MB. They have a
	// ring of their own, so that a flood of refusals does not displace other events.
	Entries = 8192
	// limiterCount is the number of limiters, to which customers are hashed, and
	// maxKeptPerSecond is the number of requests that each of them keeps per second.
	// The limit is by customer, so that a flood from one customer does not hide the
	// refusals of another.
	limiterCount     = 64
	maxKeptPerSecond = 20
)

// Kinds of request events.
const (
	KindStep     = "request.step"
	KindRefused  = "request.refused"
	KindUnknown  = "request.unknown"
	KindAnswered = "request.answered"
)

// Log keeps the events of requests in a ring. It is safe for concurrent use.
type Log struct {
	ring   *timeline.Ring
	region fleet.Region

	answered atomic.Uint64
	limiters [limiterCount]limiter
	kept     metrics.Counter
	dropped  metrics.Counter
}

var _ Recorder = (*Log)(nil)

// NewLog returns a log of a host in a region.
func NewLog(ring *timeline.Ring, region fleet.Region, registry metrics.Registry) *Log {
	return &Log{
		ring: ring, region: region,
		kept:    metrics.GetOrRegisterCounter("requestlog.kept", registry),
		dropped: metrics.GetOrRegisterCounter("requestlog.dropped", registry),
	}
}

// Finish records the events of a request if it is selected and within the limit of
// its customer.
func (l *Log) Finish(t *Trace, end End) {
	if !l.shouldKeep(t, end) {
		return
	}
	now := time.Now()
	if !l.limiters[xxhash.Sum64String(string(t.Customer))%limiterCount].allow(now.Unix()) {
		l.dropped.Inc(1)
		return
	}
	l.kept.Inc(1)
	attempt := 0
	for i := range t.count {
		s := &t.steps[i]
		if s.kind == stepAttempt {
			attempt++
		}
		l.record(now, t, KindStep, string(s.upstream), s.sentence(l.region, attempt))
	}
	kind := KindRefused
	switch {
	case end.Kind == "":
		kind = KindAnswered
	case end.Outcome == problem.OutcomeUnknown:
		kind = KindUnknown
	}
	l.record(now, t, kind, string(end.Kind), end.sentence(t))
}

func (l *Log) shouldKeep(t *Trace, end End) bool {
	if end.Kind != "" || t.attempts > 1 || len(t.ShiftedRegions(l.region)) > 0 {
		return true
	}
	return l.answered.Add(1)%SampleInterval == 1
}

func (l *Log) record(now time.Time, t *Trace, kind, subject, text string) {
	l.ring.Record(now.UnixMilli(), machine.Event{Kind: kind, Customer: t.Customer, Request: t.ID, Subject: subject, Text: text})
}

// limiter counts the requests that were kept in the current second: state holds
// the Unix second in the upper bits and the count in the lower countBits.
type limiter struct {
	state atomic.Uint64
}

const countBits = 16

func (l *limiter) allow(unixSecond int64) bool {
	for {
		old := l.state.Load()
		next := uint64(unixSecond)<<countBits | 1
		if old>>countBits == uint64(unixSecond) {
			if old&(1<<countBits-1) >= maxKeptPerSecond {
				return false
			}
			next = old + 1
		}
		if l.state.CompareAndSwap(old, next) {
			return true
		}
	}
}
