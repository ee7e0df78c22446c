package edge

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/operator"
)

const (
	// PathMetrics is the path of the metrics on their address.
	PathMetrics = "/metrics"
	// histogramMax is the highest latency that is recorded, in microseconds;
	// histogramDigits is the number of significant digits. A histogram takes about
	// 50 KB.
	histogramMax    = 60_000_000
	histogramDigits = 2
)

// hostMetrics holds the counters and latencies of the host. Metric names contain no
// customer, route or upstream, so their number is bounded.
type hostMetrics struct {
	registry metrics.Registry
	// latency holds the latencies of whole requests, attempt those of single attempts
	// that were answered, waiting the waits for room that ended with an attempt.
	latency, attempt, waiting histogram
}

// histogram is a latency histogram in microseconds.
type histogram struct {
	mu   sync.Mutex
	data *hdrhistogram.Histogram
}

func newHostMetrics() *hostMetrics {
	m := &hostMetrics{registry: metrics.NewRegistry()}
	for _, h := range []struct {
		name   string
		target *histogram
	}{{"requests.latency.microseconds", &m.latency}, {"attempts.latency.microseconds", &m.attempt}, {"waiting.time.microseconds", &m.waiting}} {
		h.target.data = hdrhistogram.New(1, histogramMax, histogramDigits)
		for _, q := range []struct {
			name    string
			percent float64
		}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}} {
			_ = m.registry.Register(h.name+"."+q.name, metrics.NewFunctionalGauge(func() int64 { return h.target.quantile(q.percent) }))
		}
	}
	return m
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Longer latencies are recorded as histogramMax.
	_ = h.data.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

func (h *histogram) quantile(percent float64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data.ValueAtQuantile(percent)
}

// count increments a counter. Names must come from a fixed set.
func (m *hostMetrics) count(name string) { m.add(name, 1) }

// add increases a counter. Names must come from a fixed set.
func (m *hostMetrics) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		var out bytes.Buffer
		operator.WriteMetrics(&out, e.hostMetrics.registry)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		if _, err := w.Write(out.Bytes()); err != nil {
			e.log.Debug().Err(err).Msg("metrics not sent")
		}
	})
	return mux
}

// registerGauges registers the metrics whose values are read on demand.
func (e *Edge) registerGauges() {
	for name, read := range map[string]func() int64{
		"callers.connections":  func() int64 { return int64(e.server.Connections()) },
		"callers.body_bytes":   e.server.BodyBytes,
		"callers.header_bytes": e.server.HeadBytes,
		"waiting.requests":     e.waiting.requests,
		"waiting.bytes":        e.waiting.bytes,
		"upstreams.body_bytes": e.upstream.ResponseBytes,
		"upstreams.known":      func() int64 { return int64(e.steering.UpstreamCount()) },
		"upstreams.cold":       func() int64 { return int64(e.steering.ColdCount(e.now())) },
		"upstreams.limited":    func() int64 { return int64(e.steering.LimitedCount()) },
		"configuration.version": func() int64 {
			if s := e.snapshot.Load(); s != nil {
				return int64(s.Version)
			}
			return 0
		},
	} {
		_ = e.hostMetrics.registry.Register(name, metrics.NewFunctionalGauge(read))
	}
}
