package hedge

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

const (
	// MinSamples is the number of attempts of a route from which on it has a delay.
	// The 0.95 quantile of fewer would be the time of one or two attempts.
	MinSamples = 50
	// halfLifeSamples is the number of samples after which an older one has half the
	// weight. The weights then add up to about 370 samples, of which 18 are above the 0.95
	// quantile. Decay by samples instead of time keeps the estimate of a rare route.
	halfLifeSamples = 256
	// minTime and maxTime are the bounds of the histogram; times beyond them are counted in
	// its first and last bucket. Hosts exchange the indexes of buckets, so a change of these
	// bounds needs another message number.
	minTime = time.Millisecond
	maxTime = time.Minute
	// bucketGrowth is the ratio of the bounds of a bucket, which bounds the error of a
	// quantile to 8%.
	bucketGrowth = 1.08
	// bucketCount is the number of buckets from minTime to maxTime.
	bucketCount = 144
	// maxRoutes bounds the memory: 1.2 KB for each route.
	maxRoutes = 512
	// maxWeight is the weight of a new sample at which all weights are scaled down.
	maxWeight = 1e12
)

var logGrowth = math.Log(bucketGrowth)

// Sample is the number of attempts of a route whose times were in the same bucket.
type Sample struct {
	// Route is the key of the route; see RouteKey.
	Route  uint64
	Bucket uint8
	Count  uint8
}

// Valid reports whether a sample may come from Delays.
func (s Sample) Valid() bool { return s.Bucket < bucketCount && s.Count > 0 }

// RouteKey returns the hash of a route's name that identifies it in samples.
func RouteKey(route fleet.Route) uint64 { return xxhash.Sum64String(string(route)) }

// Delays holds a decaying histogram per route of the time that attempts took on this host and,
// if Learn is called, on others. It is safe for concurrent use.
type Delays struct {
	quantile float64

	mu sync.Mutex
	// routes is indexed by RouteKey, because samples may arrive before the first request of
	// a route.
	routes map[uint64]*histogram
	// recorded has the attempts on this host since the last call of TakeSamples.
	recorded map[bucketKey]int
}

type bucketKey struct {
	route  uint64
	bucket uint8
}

// histogram has buckets whose bounds grow by bucketGrowth. Instead of reducing the weight
// of old samples, each new one has a higher weight than the one before.
type histogram struct {
	buckets []float64
	total   float64
	// weight is the weight of the next sample.
	weight  float64
	samples int
	// recorded is true if attempts of the route ran on this host.
	recorded bool
}

// NewDelays returns Delays without samples. The delay of a route is the given quantile, above 0
// and below 1, of the times of its attempts.
func NewDelays(quantile float64) *Delays {
	return &Delays{quantile: quantile, routes: make(map[uint64]*histogram), recorded: make(map[bucketKey]int)}
}

// Record records how long an attempt took. For an attempt that was cancelled because another one
// responded first, took is the time until then: without these samples, the slowest attempts would be
// missing, and the delay would become shorter with each second attempt.
func (d *Delays) Record(route fleet.Route, took time.Duration) {
	key := bucketKey{route: RouteKey(route), bucket: bucketOf(took)}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.routes[key.route]
	if h == nil {
		if len(d.routes) >= maxRoutes {
			d.makeRoom()
		}
		h = d.addRoute(key.route)
	}
	h.recorded = true
	h.add(key.bucket, 1, h.weight)
	h.decay(1)
	d.recorded[key]++
}

// makeRoom removes the routes that are known only from other hosts, so that wrong samples don't
// displace what was measured here. If there are none, it removes all: routes that no longer
// exist are not removed one by one.
func (d *Delays) makeRoom() {
	maps.DeleteFunc(d.routes, func(_ uint64, h *histogram) bool { return !h.recorded })
	if len(d.routes) >= maxRoutes {
		clear(d.routes)
	}
}

func (d *Delays) addRoute(key uint64) *histogram {
	h := &histogram{buckets: make([]float64, bucketCount), weight: 1}
	d.routes[key] = h
	return h
}

// TakeSamples returns the samples recorded on this host since the last call, in no particular
// order. Those added by Learn are not among them.
func (d *Delays) TakeSamples() []Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := make([]Sample, 0, len(d.recorded))
	for key, count := range d.recorded {
		for ; count > 0; count -= math.MaxUint8 {
			samples = append(samples, Sample{Route: key.route, Bucket: key.bucket, Count: uint8(min(count, math.MaxUint8))})
		}
	}
	clear(d.recorded)
	return samples
}

// Learn adds the samples of a message of another host. Their order in the message says nothing about their age, so
// each gets the mean of the weights that as many recorded samples of the route get. It returns the number of samples that were dropped, because they are
// not valid or because there are too many routes.
func (d *Delays) Learn(samples []Sample) (dropped int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[*histogram]int)
	for _, s := range samples {
		h := d.routes[s.Route]
		if !s.Valid() || h == nil && len(d.routes) >= maxRoutes {
			dropped++
			continue
		}
		if h == nil {
			h = d.addRoute(s.Route)
		}
		counts[h] += int(s.Count)
	}
	for _, s := range samples {
		if h := d.routes[s.Route]; h != nil && s.Valid() {
			h.add(s.Bucket, s.Count, h.weight*meanWeight(counts[h]))
		}
	}
	for h, count := range counts {
		h.decay(count)
	}
	return dropped
}

// Delay returns the time after which an attempt of a route counts as slow, and false while
// the route has fewer than MinSamples samples, of this and other hosts.
func (d *Delays) Delay(route fleet.Route) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.routes[RouteKey(route)]
	if h == nil || h.samples < MinSamples {
		return 0, false
	}
	return h.quantile(d.quantile), true
}

// bucketOf returns the index of the bucket of a time.
func bucketOf(took time.Duration) uint8 {
	if took <= minTime {
		return 0
	}
	return uint8(min(bucketCount-1, int(math.Log(float64(took)/float64(minTime))/logGrowth)))
}

// meanWeight returns the mean weight of a number of samples that are recorded one after the other, relative to
// that of the first one.
func meanWeight(samples int) float64 {
	return (math.Exp2(float64(samples)/halfLifeSamples) - 1) / (math.Exp2(1.0/halfLifeSamples) - 1) / float64(samples)
}

// add adds a number of samples of the same bucket, each with the given weight.
func (h *histogram) add(bucket, count uint8, weight float64) {
	weight *= float64(count)
	h.buckets[bucket] += weight
	h.total += weight
	h.samples = min(h.samples+int(count), MinSamples)
}

// decay reduces the weight of the present samples relative to later ones by that of a number of samples.
func (h *histogram) decay(samples int) {
	if h.weight *= math.Exp2(float64(samples) / halfLifeSamples); h.weight < maxWeight {
		return
	}
	for i := range h.buckets {
		h.buckets[i] /= h.weight
	}
	h.total /= h.weight
	h.weight = 1
}

// quantile returns the upper bound of the bucket in which the quantile lies.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := (1 - q) * h.total
	i := len(h.buckets) - 1
	for ; i > 0; i-- {
		if remaining -= h.buckets[i]; remaining < 0 {
			break
		}
	}
	return min(maxTime, time.Duration(float64(minTime)*math.Exp(float64(i+1)*logGrowth)))
}
