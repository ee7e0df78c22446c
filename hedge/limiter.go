package hedge

import (
	"maps"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// Window is the length of the sliding window of a Limiter, that of the shared retry budget.
	Window = 10 * time.Second
	// windowSlices is the number of slices of a window. A host handles a few requests of a
	// service per second, so finer slices would not be more exact.
	windowSlices = 20
	// maxServices bounds the memory: 700 bytes for each service. When it is reached, services
	// without a request in the last Window are removed.
	maxServices = 512
)

// Limiter bounds the second attempts of each service to a share of its requests. It is
// safe for concurrent use.
type Limiter struct {
	maxShare float64

	mu       sync.Mutex
	services map[fleet.Pool]*window
	// sweptSlice is the slice in which idle services were last looked for.
	sweptSlice int64
}

// window counts the requests and second attempts of one service by slice. It has one slice
// more than Window covers, because the current one is incomplete.
type window struct {
	slice    int64
	requests [windowSlices + 1]float64
	attempts [windowSlices + 1]float64
}

// NewLimiter returns a limiter. With a maxShare of 0 it allows nothing.
func NewLimiter(maxShare float64) *Limiter {
	return &Limiter{maxShare: maxShare, services: make(map[fleet.Pool]*window)}
}

// Deposit counts a request of a service.
func (l *Limiter) Deposit(now machine.Instant, service fleet.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.window(now, service); w != nil {
		w.requests[w.index()]++
	}
}

// Allow takes one second attempt of a service. It returns false if that would exceed the share.
//
// Invariant: the second attempts in the Window before any instant are at most maxShare of the requests
// in the Window before the last of these attempts. Attempts are therefore counted over slightly more than a
// Window and requests over slightly less.
func (l *Limiter) Allow(now machine.Instant, service fleet.Pool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(now, service)
	if w == nil {
		return false
	}
	requests, attempts := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		attempts += w.attempts[i]
	}
	requests -= w.requests[(w.slice+1)%int64(len(w.requests))]
	if attempts+1 > l.maxShare*requests {
		return false
	}
	w.attempts[w.index()]++
	return true
}

// window returns the counts of a service after clearing the slices that have expired; nil if there
// are too many services.
func (l *Limiter) window(now machine.Instant, service fleet.Pool) *window {
	slice := int64(now) / (int64(Window) / windowSlices)
	w := l.services[service]
	if w == nil {
		if len(l.services) >= maxServices {
			l.removeIdle(slice)
		}
		if len(l.services) >= maxServices {
			return nil
		}
		w = &window{slice: slice}
		l.services[service] = w
	}
	for cleared := 0; w.slice < slice && cleared < len(w.requests); cleared++ {
		w.slice++
		w.requests[w.index()], w.attempts[w.index()] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}

// removeIdle removes services all of whose slices have expired, so their attempts no longer count either. It
// runs once per slice: with more active services than maxServices, it would otherwise scan all of them
// for each request of the others.
func (l *Limiter) removeIdle(slice int64) {
	if slice == l.sweptSlice {
		return
	}
	l.sweptSlice = slice
	maps.DeleteFunc(l.services, func(_ fleet.Pool, w *window) bool { return slice-w.slice >= int64(len(w.requests)) })
}

func (w *window) index() int64 { return w.slice % int64(len(w.requests)) }
