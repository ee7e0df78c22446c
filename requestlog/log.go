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
	// SampleInterval is the number of uneventful requests of which one is kept.
	SampleInterval = 1000
	// Entries is the number of events that are kept, about 4 MB. They have a ring
	// of their own, so that a flood of refusals does not displace other events.
	Entries = 8192
	// customerSlots and keptPerSlot bound the requests that are kept in a second.
	// The bound is by customer, so that one customer's flood does not hide the
	// refusals of another one.
	customerSlots = 64
	keptPerSlot   = 20
)

// The kinds of event.
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
	budgets  [customerSlots]budget
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

// Finish keeps the events of a request that is worth it.
func (l *Log) Finish(t *Trace, end End) {
	if !l.wanted(t, end) {
		return
	}
	now := time.Now()
	if !l.budgets[xxhash.Sum64String(string(t.Customer))%customerSlots].spend(now.Unix()) {
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

func (l *Log) wanted(t *Trace, end End) bool {
	if end.Kind != "" || t.attempts > 1 || len(t.ShiftedRegions(l.region)) > 0 {
		return true
	}
	return l.answered.Add(1)%SampleInterval == 1
}

func (l *Log) record(now time.Time, t *Trace, kind, subject, text string) {
	l.ring.Record(now.UnixMilli(), machine.Event{Kind: kind, Customer: t.Customer, Request: t.ID, Subject: subject, Text: text})
}

// budget counts what was kept in one second: the second in the upper bits and
// the count in the lower ones.
type budget struct {
	state atomic.Uint64
}

const countBits = 16

func (b *budget) spend(second int64) bool {
	for {
		old := b.state.Load()
		next := uint64(second)<<countBits | 1
		if old>>countBits == uint64(second) {
			if old&(1<<countBits-1) >= keptPerSlot {
				return false
			}
			next = old + 1
		}
		if b.state.CompareAndSwap(old, next) {
			return true
		}
	}
}
