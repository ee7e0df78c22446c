package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/problem"
)

// Parameters of the latency reservoir: 1,028 samples, weighted towards the last
// five minutes, as go-metrics recommends.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// gatewayMetrics holds the metrics of a Gateway. Metric names are built from
// problem kinds, outcomes and status classes, which are fixed sets, and never
// from caller input.
type gatewayMetrics struct {
	registry metrics.Registry
	lookups  metrics.Counter
	latency  metrics.Histogram
	// statusClasses counts upstream responses by the first digit of their status.
	statusClasses [6]metrics.Counter

	mu       sync.RWMutex
	refusals map[refusalKey]metrics.Counter
}

type refusalKey struct {
	kind    problem.Kind
	outcome problem.Outcome
}

func newGatewayMetrics(registry metrics.Registry) *gatewayMetrics {
	m := &gatewayMetrics{
		registry: registry,
		lookups:  metrics.GetOrRegisterCounter("gateway.lookups", registry),
		latency: metrics.GetOrRegisterHistogram("gateway.latency_microseconds", registry,
			metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		refusals: map[refusalKey]metrics.Counter{},
	}
	for i, name := range [...]string{"other", "1xx", "2xx", "3xx", "4xx", "5xx"} {
		m.statusClasses[i] = metrics.GetOrRegisterCounter("gateway.responses."+name, registry)
	}
	return m
}

// registerGauges exports the number of callers' connections and the bytes of their bodies.
// Gauges that an earlier listener registered are kept.
func (m *gatewayMetrics) registerGauges(connections, bodyBytes func() int64) {
	registry := m.registry
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	registry.GetOrRegister("gateway.connections", metrics.NewFunctionalGauge(connections))
	registry.GetOrRegister("gateway.body_bytes", metrics.NewFunctionalGauge(bodyBytes))
}

// answered records the status and latency of an upstream response.
func (m *gatewayMetrics) answered(status int, latency time.Duration) {
	class := status / 100
	if class >= len(m.statusClasses) {
		class = 0
	}
	m.statusClasses[class].Inc(1)
	m.latency.Update(latency.Microseconds())
}

// refused counts a problem document.
func (m *gatewayMetrics) refused(err *problem.Error) {
	key := refusalKey{kind: err.Kind, outcome: err.Outcome}
	m.mu.RLock()
	counter, ok := m.refusals[key]
	m.mu.RUnlock()
	if !ok {
		name := strings.ReplaceAll("gateway.refusals."+string(err.Kind)+"."+string(err.Outcome), "-", "_")
		counter = metrics.GetOrRegisterCounter(name, m.registry)
		m.mu.Lock()
		m.refusals[key] = counter
		m.mu.Unlock()
	}
	counter.Inc(1)
}
