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
	// histogramMax is the longest latency that is told apart, in microseconds, and
	// histogramDigits the precision. Each histogram takes about 50 KB.
	histogramMax    = 60_000_000
	histogramDigits = 2
)

// figures counts what the host decides. The names have no customer, route or
// upstream, so their number is bounded.
type figures struct {
	registry metrics.Registry
	// latency is of whole requests, attempt of single attempts that were answered.
	latency, attempt histogram
}

// histogram is a latency histogram in microseconds.
type histogram struct {
	mu   sync.Mutex
	data *hdrhistogram.Histogram
}

func newFigures() *figures {
	f := &figures{registry: metrics.NewRegistry()}
	for _, h := range []struct {
		name string
		into *histogram
	}{{"requests.latency.microseconds", &f.latency}, {"attempts.latency.microseconds", &f.attempt}} {
		h.into.data = hdrhistogram.New(1, histogramMax, histogramDigits)
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}} {
			_ = f.registry.Register(h.name+"."+q.name, metrics.NewFunctionalGauge(func() int64 { return h.into.quantile(q.at) }))
		}
	}
	return f
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Longer latencies count as the longest.
	_ = h.data.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

func (h *histogram) quantile(at float64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data.ValueAtQuantile(at)
}

// count adds one to a counter. Names come from fixed sets of words.
func (f *figures) count(name string) {
	metrics.GetOrRegisterCounter(name, f.registry).Inc(1)
}

func (e *Edge) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		var out bytes.Buffer
		operator.WriteMetrics(&out, e.figures.registry)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		if _, err := w.Write(out.Bytes()); err != nil {
			e.log.Debug().Err(err).Msg("metrics not sent")
		}
	})
	return mux
}

// watchGauges registers what is read rather than counted.
func (e *Edge) watchGauges() {
	for name, read := range map[string]func() int64{
		"callers.connections": func() int64 { return int64(e.server.Connections()) },
		"upstreams.known":     func() int64 { return int64(e.steering.UpstreamCount()) },
		"configuration.version": func() int64 {
			if s := e.snapshot.Load(); s != nil {
				return int64(s.Version)
			}
			return 0
		},
	} {
		_ = e.figures.registry.Register(name, metrics.NewFunctionalGauge(read))
	}
}
