package store

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Kinds of call, as used in metric names.
const (
	kindGet    = "get"
	kindCreate = "create"
	kindUpdate = "update"
	kindDelete = "delete"
	kindList   = "list"
	kindWatch  = "watch"
	kindHosts  = "hosts"
)

var callKinds = []string{kindGet, kindCreate, kindUpdate, kindDelete, kindList, kindWatch, kindHosts}

// Metrics holds the metrics of one client by kind of call: the counters
// store.calls.KIND and store.errors.KIND (no response, or a 5xx status) and the
// timer store.latency.KIND.
type Metrics struct {
	calls   map[string]metrics.Counter
	errors  map[string]metrics.Counter
	latency map[string]metrics.Timer
}

// NewMetrics registers the counters and timers.
func NewMetrics(registry metrics.Registry) *Metrics {
	m := &Metrics{
		calls:   map[string]metrics.Counter{},
		errors:  map[string]metrics.Counter{},
		latency: map[string]metrics.Timer{},
	}
	for _, kind := range callKinds {
		m.calls[kind] = metrics.GetOrRegisterCounter("store.calls."+kind, registry)
		m.errors[kind] = metrics.GetOrRegisterCounter("store.errors."+kind, registry)
		m.latency[kind] = metrics.GetOrRegisterTimer("store.latency."+kind, registry)
	}
	return m
}

func (m *Metrics) record(kind string, elapsed time.Duration, failed bool) {
	if m == nil {
		return
	}
	m.calls[kind].Inc(1)
	m.latency[kind].Update(elapsed)
	if failed {
		m.errors[kind].Inc(1)
	}
}
