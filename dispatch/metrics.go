package dispatch

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/traffic"
)

// resultNames are the parts of counter names that stand for results.
var resultNames = [...]string{
	traffic.ResultUnused:          "unused",
	traffic.ResultAnswered:        "answered",
	traffic.ResultShed:            "shed",
	traffic.ResultDraining:        "draining",
	traffic.ResultConnectFailed:   "connect_failed",
	traffic.ResultConnectionFault: "connection_fault",
	traffic.ResultFailed:          "failed",
	traffic.ResultTimedOut:        "timed_out",
	traffic.ResultCrashSuspected:  "crash_suspected",
	traffic.ResultCancelled:       "cancelled",
}

// counters are the counters of a Dispatcher. Their number does not depend on
// upstreams, routes or customers.
type counters struct {
	attempts metrics.Counter
	retries  metrics.Counter
	// silent counts connections that went silent.
	silent metrics.Counter
	// crossed counts responses that carried another request's id.
	crossed metrics.Counter
	// surplus counts responses that were followed by further bytes.
	surplus metrics.Counter
	results [len(resultNames)]metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	c := &counters{
		attempts: metrics.GetOrRegisterCounter("dispatch.attempts", registry),
		retries:  metrics.GetOrRegisterCounter("dispatch.retries", registry),
		silent:   metrics.GetOrRegisterCounter("dispatch.silent_connections", registry),
		crossed:  metrics.GetOrRegisterCounter("dispatch.crossed_responses", registry),
		surplus:  metrics.GetOrRegisterCounter("dispatch.surplus_bytes", registry),
	}
	for i, name := range resultNames {
		c.results[i] = metrics.GetOrRegisterCounter("dispatch.results."+name, registry)
	}
	return c
}

// maxPooledBuffer keeps a large request from pinning its buffer for ever.
const maxPooledBuffer = 64 << 10

// buffer holds a serialised request.
type buffer struct {
	B []byte
}

// buffers recycles buffers.
type buffers struct {
	pool sync.Pool
}

func (b *buffers) get() *buffer {
	if recycled, ok := b.pool.Get().(*buffer); ok {
		return recycled
	}
	return &buffer{}
}

func (b *buffers) put(used *buffer) {
	if cap(used.B) <= maxPooledBuffer {
		b.pool.Put(used)
	}
}
