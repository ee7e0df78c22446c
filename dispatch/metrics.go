package dispatch

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/traffic"
)

// resultNames are the suffixes of the counter names of results.
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

// counters are the counters of a Dispatcher. Their number does not depend on the
// number of upstreams, routes or customers.
type counters struct {
	attempts metrics.Counter
	retries  metrics.Counter
	// unresponsive counts connections that stopped responding.
	unresponsive metrics.Counter
	// mismatchedResponses counts responses without the ID of their request.
	mismatchedResponses metrics.Counter
	// surplusBytes counts responses that were followed by more bytes.
	surplusBytes metrics.Counter
	results      [len(resultNames)]metrics.Counter
	// brokenResponses counts attempts that may have run and ended without a whole response,
	// other than by a timeout or by the caller.
	brokenResponses map[httpcheck.Reason]metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	c := &counters{
		attempts:            metrics.GetOrRegisterCounter("dispatch.attempts", registry),
		retries:             metrics.GetOrRegisterCounter("dispatch.retries", registry),
		unresponsive:        metrics.GetOrRegisterCounter("dispatch.silent_connections", registry),
		mismatchedResponses: metrics.GetOrRegisterCounter("dispatch.crossed_responses", registry),
		surplusBytes:        metrics.GetOrRegisterCounter("dispatch.surplus_bytes", registry),
	}
	for i, name := range resultNames {
		c.results[i] = metrics.GetOrRegisterCounter("dispatch.results."+name, registry)
	}
	c.brokenResponses = make(map[httpcheck.Reason]metrics.Counter, len(httpcheck.Reasons))
	for _, reason := range httpcheck.Reasons {
		c.brokenResponses[reason] = metrics.GetOrRegisterCounter("dispatch.broken_responses."+string(reason), registry)
	}
	return c
}

// maxPooledBuffer is the largest buffer in bytes that is pooled, so that a large
// request does not pin its buffer for ever.
const maxPooledBuffer = 64 << 10

// buffer holds the serialised header of a request, and its body if that is small.
type buffer struct {
	B []byte
}

// bufferPool reuses buffers.
type bufferPool struct {
	pool sync.Pool
}

func (b *bufferPool) get() *buffer {
	if recycled, ok := b.pool.Get().(*buffer); ok {
		return recycled
	}
	return &buffer{}
}

func (b *bufferPool) put(used *buffer) {
	if cap(used.B) <= maxPooledBuffer {
		b.pool.Put(used)
	}
}
