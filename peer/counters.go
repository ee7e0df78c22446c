package peer

import "github.com/rcrowley/go-metrics"

// counters counts messages, bytes, drops and connections. Bytes include the frame
// header but not the QUIC, UDP and IP headers.
type counters struct {
	messagesIn, messagesOut           metrics.Counter
	bytesIn, bytesOut                 metrics.Counter
	dropsQueue, dropsStale            metrics.Counter
	dropsUnknown, dropsMalformed      metrics.Counter
	connections, duplicates, failures metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("peer."+name, r) }
	return &counters{
		messagesIn:     counter("messages.in"),
		messagesOut:    counter("messages.out"),
		bytesIn:        counter("bytes.in"),
		bytesOut:       counter("bytes.out"),
		dropsQueue:     counter("drops.queue"),
		dropsStale:     counter("drops.stale"),
		dropsUnknown:   counter("drops.unknown"),
		dropsMalformed: counter("drops.malformed"),
		connections:    counter("connections"),
		duplicates:     counter("connections.duplicate"),
		failures:       counter("connections.failed"),
	}
}
