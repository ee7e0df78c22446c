package steering

import (
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Budget bounds the second attempts of requests over the whole fleet. Each host
// spends at most its own part, so that the sum holds without messages: Ratio of
// its own requests and one part of Minimum.
type RetryBudget struct {
	config RetryBudgetConfig

	mu       sync.Mutex
	hosts    int
	services map[fleet.Pool]*budgetWindow
}

// BudgetConfig holds the bounds of a Budget.
type RetryBudgetConfig struct {
	// Ratio is the number of second attempts for each request.
	Ratio float64
	// Minimum is the number of second attempts over all hosts that are allowed in a
	// window beside Ratio.
	MinRetries float64
	Window     time.Duration
	// MinimumFrom is when this host may begin to spend its part of Minimum. A process
	// that follows another one waits for a window, because its predecessor may have
	// spent the same part.
	MinRetriesFrom machine.Instant
}

// budgetSlices is the number of parts in which a window is counted. The slice in
// progress is a part of one, so budgetSlices of them hold less than a window, and
// one more holds at least a window.
const budgetSlices = 10

// ratioPart is the part of the ratio that is spent. A request may pay for an
// attempt that arrives in a window after it, and attempts arrive later than they
// are spent: on a day whose budget was used up, that was 0.2% of it.
const ratioPart = 0.95

type budgetWindow struct {
	slice    int64
	requests [budgetSlices + 1]float64
	retries  [budgetSlices + 1]float64
}

// NewBudget returns a budget.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, hosts: 1, services: make(map[fleet.Pool]*budgetWindow)}
}

// SetHosts sets the number of hosts that share Minimum.
func (b *RetryBudget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Earn counts a request for a service.
func (b *RetryBudget) Deposit(now machine.Instant, service fleet.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.slice%int64(len(w.requests))]++
}

// Spend takes a second attempt from the budget. It returns false if there is
// none left.
//
// Invariant: in every window, spent attempts are at most Ratio of the requests of
// that window or of one that began up to a window earlier, and this host's part of
// Minimum. So attempts are counted over a little more than a window and requests
// over a little less.
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
	if now >= b.config.MinRetriesFrom {
		minimum = b.config.MinRetries / float64(b.hosts)
	}
	if retries+1 > ratioPart*b.config.Ratio*requests+minimum {
		return false
	}
	w.retries[w.slice%int64(len(w.retries))]++
	return true
}

// window returns the counts of a service with the passed slices cleared.
func (b *RetryBudget) window(now machine.Instant, service fleet.Pool) *budgetWindow {
	slice := int64(now) / (int64(b.config.Window) / budgetSlices)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{slice: slice}
		b.services[service] = w
	}
	for passed := 0; w.slice < slice && passed < len(w.retries); passed++ {
		w.slice++
		oldest := w.slice % int64(len(w.retries))
		w.requests[oldest], w.retries[oldest] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
