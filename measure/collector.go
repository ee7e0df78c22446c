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
	// bucketSeconds is the length of one part of the window.
	bucketSeconds = 2
	// completeBuckets is the number of parts that are reported. The part that is
	// being filled is left out, so figures are up to 2 s old.
	completeBuckets = 5
	// WindowSeconds is the time over which traffic is counted.
	WindowSeconds = bucketSeconds * completeBuckets

	// maxSeries and maxLatencies bound the memory and the size of a report: 64
	// histograms in six parts take 10 MB. Requests beyond them count for a series
	// without route and customer.
	maxSeries    = 1024
	maxLatencies = 64

	// maxLatency is the largest latency that is told from larger ones.
	maxLatency        = 10 * time.Minute
	significantDigits = 2
)

type pair struct {
	route    fleet.Route
	customer fleet.Customer
}

type direction struct {
	route    fleet.Route
	from, to fleet.Region
}

// bucket holds what happened in one part of the window.
type bucket struct {
	mu        sync.Mutex
	number    int64
	counts    map[Series]uint64
	latencies map[pair]*hdrhistogram.Histogram
	shifts    map[direction]uint64
}

func newBucket() *bucket {
	return &bucket{
		counts:    map[Series]uint64{},
		latencies: map[pair]*hdrhistogram.Histogram{},
		shifts:    map[direction]uint64{},
	}
}

// clear empties the bucket. Histograms stay for the next use, unless all are
// taken, perhaps by customers that are gone.
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

// Collector counts requests. It is safe for concurrent use. Each part of the
// window has a lock, so that requests, which write the present part, do not wait
// while the others are added up.
type Collector struct {
	region  fleet.Region
	now     func() time.Time
	buckets [completeBuckets + 1]*bucket
}

var _ requestlog.Recorder = (*Collector)(nil)

// NewCollector returns a collector of a host in a region. Now reads a clock.
func NewCollector(region fleet.Region, now func() time.Time) *Collector {
	c := &Collector{region: region, now: now}
	for i := range c.buckets {
		c.buckets[i] = newBucket()
	}
	return c
}

// lock returns the bucket of a time, locked. A request that was held up takes the
// bucket as it finds it if that is of a later time.
func (c *Collector) lock(number int64) *bucket {
	b := c.buckets[number%int64(len(c.buckets))]
	b.mu.Lock()
	if b.number < number {
		b.clear(number)
	}
	return b
}

// Finish counts a request.
func (c *Collector) Finish(t *requestlog.Trace, end requestlog.End) {
	number := c.now().Unix() / bucketSeconds
	key := Series{
		Route: t.Route, Customer: t.Customer, Kind: end.Kind, Outcome: end.Outcome,
		ServerError: end.Kind == "" && end.Status >= 500, Sent: t.Attempts() > 0,
	}
	shifted := t.ShiftedRegions(c.region)
	b := c.lock(number)
	defer b.mu.Unlock()
	if _, known := b.counts[key]; !known && len(b.counts) >= maxSeries {
		key.Route, key.Customer = "", ""
	}
	b.counts[key]++
	for _, to := range shifted {
		b.shifts[direction{t.Route, c.region, to}]++
	}
	if end.Kind == "" && end.Outcome == problem.OutcomeRun {
		b.latency(pair{t.Route, t.Customer}, end.Elapsed)
	}
}

func (b *bucket) latency(key pair, took time.Duration) {
	h := b.latencies[key]
	if h == nil && len(b.latencies) >= maxLatencies {
		key = pair{}
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

// Traffic returns the counts of the last WindowSeconds.
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

func (b *bucket) add(from *bucket) {
	for key, n := range from.counts {
		b.counts[key] += n
	}
	for key, n := range from.shifts {
		b.shifts[key] += n
	}
	for key, h := range from.latencies {
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
