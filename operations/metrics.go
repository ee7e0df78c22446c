package operations

import "github.com/rcrowley/go-metrics"

var decisionNames = map[Decision]string{
	DecisionGranted:     "granted",
	DecisionRan:         "ran",
	DecisionRunning:     "running",
	DecisionUnknown:     "unknown",
	DecisionMismatch:    "mismatch",
	DecisionAhead:       "ahead",
	DecisionTooOld:      "too-old",
	DecisionFull:        "full",
	DecisionUnavailable: "unavailable",
}

var endingNames = map[Ending]string{
	EndingComplete: "complete",
	EndingRelease:  "release",
	EndingAbandon:  "abandon",
}

// clientMetrics holds the counters operations.decisions.NAME,
// operations.endings.NAME, operations.overtaken (granted claims that a later owner
// refused) and operations.endings.delayed (endings that did not fit into the queue
// of the control loop).
type clientMetrics struct {
	decisions map[Decision]metrics.Counter
	endings   map[Ending]metrics.Counter
	overtaken metrics.Counter
	delayed   metrics.Counter
}

func newClientMetrics(registry metrics.Registry) clientMetrics {
	c := clientMetrics{
		decisions: map[Decision]metrics.Counter{},
		endings:   map[Ending]metrics.Counter{},
		overtaken: metrics.GetOrRegisterCounter("operations.overtaken", registry),
		delayed:   metrics.GetOrRegisterCounter("operations.endings.delayed", registry),
	}
	for d, name := range decisionNames {
		c.decisions[d] = metrics.GetOrRegisterCounter("operations.decisions."+name, registry)
	}
	for e, name := range endingNames {
		c.endings[e] = metrics.GetOrRegisterCounter("operations.endings."+name, registry)
	}
	return c
}
