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

// fullLoadRequests is the number of running requests at which the load is 1.
const fullLoadRequests = 512

// activeRequests counts the requests that are being dispatched.
type activeRequests struct {
	n atomic.Int64
}

func (a *activeRequests) running() int { return int(a.n.Load()) }

// load returns the load of the host, from 0 to 1.
func (a *activeRequests) load() float64 {
	return min(1, float64(a.running())/fullLoadRequests)
}

type countingDispatcher struct {
	next   gateway.Dispatcher
	active *activeRequests
}

func (a *activeRequests) wrap(next gateway.Dispatcher) gateway.Dispatcher {
	return &countingDispatcher{next: next, active: a}
}

// Dispatch counts the request while it runs.
func (d *countingDispatcher) Dispatch(ctx context.Context, request *dispatch.Request, into *fasthttp.Response) error {
	d.active.n.Add(1)
	defer d.active.n.Add(-1)
	return d.next.Dispatch(ctx, request, into)
}

// pendingNoteCalls holds the operators' calls that wait for a decision on their
// note, by request ID.
type pendingNoteCalls struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan configuration.NoteResult
}

func (n *pendingNoteCalls) init() {
	n.pending = map[uint64]chan configuration.NoteResult{}
}

func (n *pendingNoteCalls) add() (uint64, chan configuration.NoteResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	result := make(chan configuration.NoteResult, 1)
	n.pending[n.next] = result
	return n.next, result
}

func (n *pendingNoteCalls) remove(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, id)
}

func (n *pendingNoteCalls) resolve(result configuration.NoteResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if pending, ok := n.pending[result.RequestID]; ok {
		delete(n.pending, result.RequestID)
		pending <- result
	}
}

// BusyError reports that the control loop's inbox is full.
type BusyError struct{}

func (*BusyError) Error() string { return "control loop is busy; the note was not accepted" }

// applyNote passes a note to the configuration module and waits for the decision.
func (h *Host) applyNote(ctx context.Context, note *configuration.Note) (configuration.NoteResult, error) {
	id, decided := h.pendingNotes.add()
	if !h.loop.Post(h.modules.configuration, configuration.ApplyNote{RequestID: id, Note: note}) {
		h.pendingNotes.remove(id)
		return configuration.NoteResult{}, &BusyError{}
	}
	select {
	case result := <-decided:
		return result, result.Err
	case <-ctx.Done():
		h.pendingNotes.remove(id)
		return configuration.NoteResult{}, ctx.Err()
	}
}
