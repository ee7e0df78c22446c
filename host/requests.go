package host

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/gateway"
)

// fullLoad is the number of running requests that counts as load 1.
const fullLoad = 512

// activeRequests counts the requests that are being dispatched.
type activeRequests struct {
	n atomic.Int64
}

func (a *activeRequests) running() int { return int(a.n.Load()) }

// load returns the advertised load of the host, 0 to 1.
func (a *activeRequests) load() float64 {
	return min(1, float64(a.running())/fullLoad)
}

type countingDispatcher struct {
	next   gateway.Dispatcher
	active *activeRequests
}

func (a *activeRequests) count(next gateway.Dispatcher) gateway.Dispatcher {
	return &countingDispatcher{next: next, active: a}
}

// Dispatch counts the request while it runs.
func (d *countingDispatcher) Dispatch(ctx context.Context, request *dispatch.Request, into *fasthttp.Response) error {
	d.active.n.Add(1)
	defer d.active.n.Add(-1)
	return d.next.Dispatch(ctx, request, into)
}

// noteCalls holds the operators' calls that wait for a decision on their note.
type noteCalls struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan configuration.NoteResult
}

func (n *noteCalls) init() {
	n.waiting = map[uint64]chan configuration.NoteResult{}
}

func (n *noteCalls) begin() (uint64, chan configuration.NoteResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	result := make(chan configuration.NoteResult, 1)
	n.waiting[n.next] = result
	return n.next, result
}

func (n *noteCalls) forget(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.waiting, id)
}

func (n *noteCalls) finish(result configuration.NoteResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if waiting, ok := n.waiting[result.RequestID]; ok {
		delete(n.waiting, result.RequestID)
		waiting <- result
	}
}

// BusyError reports a control loop that can't take more work.
type BusyError struct{}

func (*BusyError) Error() string { return "control loop is busy; the note was not accepted" }

// applyNote hands a note to the configuration and waits for the decision.
func (h *Host) applyNote(ctx context.Context, note *configuration.Note) (configuration.NoteResult, error) {
	id, decided := h.notes.begin()
	if !h.loop.Post(h.modules.configuration, configuration.ApplyNote{RequestID: id, Note: note}) {
		h.notes.forget(id)
		return configuration.NoteResult{}, &BusyError{}
	}
	select {
	case result := <-decided:
		return result, result.Err
	case <-ctx.Done():
		h.notes.forget(id)
		return configuration.NoteResult{}, ctx.Err()
	}
}
