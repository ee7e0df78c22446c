package steering

import (
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// RetryBudget bounds the retries of the whole fleet. Each host withdraws at most its
// own share, so the total holds without messages between hosts: Ratio of its own
// requests plus an equal share of MinRetries.
type RetryBudget struct {
	config RetryBudgetConfig

	mu sync.Mutex
	// hosts is the number of hosts that share MinRetries; 0 until it is known.
	hosts    int
	services map[fleet.Pool]*budgetWindow
}

// RetryBudgetConfig holds the bounds of a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// MinRetries is the number of retries that all hosts together may send in a window
	// in addition to Ratio.
	MinRetries float64
	Window     time.Duration
	// MinRetriesFrom is when this host may start to use its share of MinRetries. A
	// successor process waits for one window, because its predecessor may have used
	// the same share.
	MinRetriesFrom machine.Instant
}

// budgetSlices is the number of slices in a window. The current slice is incomplete,
// so budgetSlices of them cover less than a window, and one more covers at least a
// window.
const budgetSlices = 10

// usableRatioShare is the share of the ratio that may be used. A retry can fall into
// a later window than the request that allowed it, and it is sent later than it is
// withdrawn. On a day when the budget was used up, this came to 0.2% of it.
const usableRatioShare = 0.95

// budgetWindow counts the requests and retries of one service by slice.
type budgetWindow struct {
	slice    int64
	requests [budgetSlices + 1]float64
	retries  [budgetSlices + 1]float64
}

// NewRetryBudget returns a budget without a share of MinRetries, which requires SetHosts.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, services: make(map[fleet.Pool]*budgetWindow)}
}

// SetHosts sets the number of hosts that share MinRetries, this one included.
func (b *RetryBudget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Deposit counts a request, which adds to the budget of its service.
func (b *RetryBudget) Deposit(now machine.Instant, service fleet.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.slice%int64(len(w.requests))]++
}

// Withdraw takes a retry from the budget. It returns false if none is left.
//
// Invariant: in every window, the retries withdrawn are at most Ratio of the requests
// of that window, or of one that began up to a window earlier, plus this host's share
// of MinRetries. Retries are therefore counted over slightly more than a window and
// requests over slightly less.
func (b *RetryBudget) Withdraw(now machine.Instant, service fleet.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0.0, 0.0
	for i := range w.retries {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	requests -= w.requests[(w.slice+1)%int64(len(w.requests))]
	minimum := 0.0
	if b.hosts > 0 && now >= b.config.MinRetriesFrom {
		minimum = b.config.MinRetries / float64(b.hosts)
	}
	if retries+1 > usableRatioShare*b.config.Ratio*requests+minimum {
		return false
	}
	w.retries[w.slice%int64(len(w.retries))]++
	return true
}

// window returns the counts of a service after clearing the slices that have expired.
func (b *RetryBudget) window(now machine.Instant, service fleet.Pool) *budgetWindow {
	slice := int64(now) / (int64(b.config.Window) / budgetSlices)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{slice: slice}
		b.services[service] = w
	}
	for cleared := 0; w.slice < slice && cleared < len(w.retries); cleared++ {
		w.slice++
		oldest := w.slice % int64(len(w.retries))
		w.requests[oldest], w.retries[oldest] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
