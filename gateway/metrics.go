package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/problem"
)

// The reservoir of the latency histogram: 1,028 values weighted towards the
// last five minutes, as go-metrics recommends.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// gatewayMetrics are the metrics of a Gateway. Names are made of problem kinds,
// outcomes and status classes, which are fixed sets, never of what a caller
// sent.
type gatewayMetrics struct {
	registry metrics.Registry
	lookups  metrics.Counter
	latency  metrics.Histogram
	// classes counts responses of upstreams by the first digit of their status.
	classes [6]metrics.Counter

	mu       sync.RWMutex
	refusals map[refusal]metrics.Counter
}

type refusal struct {
	kind    problem.Kind
	outcome problem.Outcome
}

func newGatewayMetrics(registry metrics.Registry) *gatewayMetrics {
	m := &gatewayMetrics{
		registry: registry,
		lookups:  metrics.GetOrRegisterCounter("gateway.lookups", registry),
		latency: metrics.GetOrRegisterHistogram("gateway.latency_microseconds", registry,
			metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)),
		refusals: map[refusal]metrics.Counter{},
	}
	for i, name := range [...]string{"other", "1xx", "2xx", "3xx", "4xx", "5xx"} {
		m.classes[i] = metrics.GetOrRegisterCounter("gateway.responses."+name, registry)
	}
	return m
}

// watchConnections exports the number of callers' connections. The gauge of an
// earlier listener stays.
func (m *gatewayMetrics) watchConnections(open func() int64) {
	registry := m.registry
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	registry.GetOrRegister("gateway.connections", metrics.NewFunctionalGauge(open))
}

// answered counts a response of an upstream.
func (m *gatewayMetrics) answered(status int, latency time.Duration) {
	class := status / 100
	if class >= len(m.classes) {
		class = 0
	}
	m.classes[class].Inc(1)
	m.latency.Update(latency.Microseconds())
}

// refused counts a problem document.
func (m *gatewayMetrics) refused(err *problem.Error) {
	key := refusal{kind: err.Kind, outcome: err.Outcome}
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
