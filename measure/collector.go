package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/requestlog"
)

const (
	// bucketSeconds is the duration of one bucket of the window.
	bucketSeconds = 2
	// completeBuckets is the number of buckets that are reported. The current bucket
	// is not reported, so reports are up to 2 s old.
	completeBuckets = 5
	// WindowSeconds is the duration of the window over which traffic is counted.
	WindowSeconds = bucketSeconds * completeBuckets

	// maxSeries and maxLatencies bound the memory and the size of a report: 64
	// histograms in six buckets take 10 MB. Requests beyond these limits are counted
	// in a series without route and customer.
	maxSeries    = 1024
	maxLatencies = 64

	// maxLatency is the largest latency that is recorded; larger ones are clipped to it.
	maxLatency        = 10 * time.Minute
	significantDigits = 2
)

type routeCustomer struct {
	route    fleet.Route
	customer fleet.Customer
}

type regionShift struct {
	route    fleet.Route
	from, to fleet.Region
}

// bucket holds the counts of one interval of the window.
type bucket struct {
	mu sync.Mutex
	// number is the Unix time divided by bucketSeconds.
	number    int64
	counts    map[Series]uint64
	latencies map[routeCustomer]*hdrhistogram.Histogram
	shifts    map[regionShift]uint64
}

func newBucket() *bucket {
	return &bucket{
		counts:    map[Series]uint64{},
		latencies: map[routeCustomer]*hdrhistogram.Histogram{},
		shifts:    map[regionShift]uint64{},
	}
}

// clear empties the bucket for another interval. Histograms are kept for reuse,
// unless the limit is reached: some may belong to customers that no longer exist.
func (b *bucket) clear(number int64) {
	b.number = number
	clear(b.counts)
	clear(b.shifts)
	if len(b.latencies) >= maxLatencies {
		clear(b.latencies)
	}
	for _, h := range b.latencies {
		h.Reset()
	}
}

// Collector counts requests. It is safe for concurrent use. Each bucket has its own
// lock, so that requests, which write to the current bucket, do not wait while the
// others are summed.
type Collector struct {
	region  fleet.Region
	now     func() time.Time
	buckets [completeBuckets + 1]*bucket
}

var _ requestlog.Recorder = (*Collector)(nil)

// NewCollector returns a collector for a host in a region. It reads the time from
// now.
func NewCollector(region fleet.Region, now func() time.Time) *Collector {
	c := &Collector{region: region, now: now}
	for i := range c.buckets {
		c.buckets[i] = newBucket()
	}
	return c
}

// lockBucket locks and returns the bucket for a bucket number. A delayed request may
// get a bucket that has been reused for a later interval.
func (c *Collector) lockBucket(number int64) *bucket {
	b := c.buckets[number%int64(len(c.buckets))]
	b.mu.Lock()
	if b.number < number {
		b.clear(number)
	}
	return b
}

// Finish counts a finished request.
func (c *Collector) Finish(t *requestlog.Trace, end requestlog.End) {
	number := c.now().Unix() / bucketSeconds
	key := Series{
		Route: t.Route, Customer: t.Customer, Kind: end.Kind, Outcome: end.Outcome,
		ServerError: end.Kind == "" && end.Status >= 500, Sent: t.Attempts() > 0,
	}
	shifted := t.ShiftedRegions(c.region)
	b := c.lockBucket(number)
	defer b.mu.Unlock()
	if _, exists := b.counts[key]; !exists && len(b.counts) >= maxSeries {
		key.Route, key.Customer = "", ""
	}
	b.counts[key]++
	for _, to := range shifted {
		b.shifts[regionShift{t.Route, c.region, to}]++
	}
	if end.Kind == "" && end.Outcome == problem.OutcomeRun {
		b.recordLatency(routeCustomer{t.Route, t.Customer}, end.Elapsed)
	}
}

func (b *bucket) recordLatency(key routeCustomer, took time.Duration) {
	h := b.latencies[key]
	if h == nil && len(b.latencies) >= maxLatencies {
		key = routeCustomer{}
		h = b.latencies[key]
	}
	if h == nil {
		h = newHistogram()
		b.latencies[key] = h
	}
	// The value is within the range of the histogram, so there is no error.
	_ = h.RecordValue(max(1, min(took, maxLatency).Microseconds()))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Traffic returns the counts of the last WindowSeconds, without the current bucket.
func (c *Collector) Traffic() Traffic {
	number := c.now().Unix() / bucketSeconds
	sum := newBucket()
	for _, b := range c.buckets {
		b.mu.Lock()
		if b.number < number && b.number >= number-completeBuckets {
			sum.add(b)
		}
		b.mu.Unlock()
	}
	return sum.traffic()
}

func (b *bucket) add(other *bucket) {
	for key, n := range other.counts {
		b.counts[key] += n
	}
	for key, n := range other.shifts {
		b.shifts[key] += n
	}
	for key, h := range other.latencies {
		if h.TotalCount() == 0 {
			continue
		}
		if b.latencies[key] == nil {
			b.latencies[key] = newHistogram()
		}
		b.latencies[key].Merge(h)
	}
}

func (b *bucket) traffic() Traffic {
	var t Traffic
	for key, n := range b.counts {
		t.Counts = append(t.Counts, Count{Series: key, Requests: n})
	}
	for key, n := range b.shifts {
		t.Shifts = append(t.Shifts, Shift{Route: key.route, From: key.from, To: key.to, Attempts: n})
	}
	for key, h := range b.latencies {
		text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			continue
		}
		t.Latencies = append(t.Latencies, Latency{Route: key.route, Customer: key.customer, Histogram: text})
	}
	return t
}
