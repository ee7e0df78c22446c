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
type Budget struct {
	config BudgetConfig

	mu       sync.Mutex
	hosts    int
	services map[fleet.Pool]*budgetWindow
}

// BudgetConfig holds the bounds of a Budget.
type BudgetConfig struct {
	// Ratio is the number of second attempts for each request.
	Ratio float64
	// Minimum is the number of second attempts over all hosts that are allowed in a
	// window beside Ratio.
	Minimum float64
	Window  time.Duration
}

// budgetSlices is the number of parts in which a window is counted.
const budgetSlices = 10

type budgetWindow struct {
	slice    int64
	requests [budgetSlices]float64
	retries  [budgetSlices]float64
}

// NewBudget returns a budget.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, hosts: 1, services: make(map[fleet.Pool]*budgetWindow)}
}

// SetHosts sets the number of hosts that share Minimum.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Earn counts a request for a service.
func (b *Budget) Earn(now machine.Instant, service fleet.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.slice%budgetSlices]++
}

// Spend takes a second attempt from the budget. It returns false if there is
// none left.
func (b *Budget) Spend(now machine.Instant, service fleet.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0.0, 0.0
	for i := range budgetSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > b.config.Ratio*requests+b.config.Minimum/float64(b.hosts) {
		return false
	}
	w.retries[w.slice%budgetSlices]++
	return true
}

// window returns the counts of a service with the passed slices cleared.
func (b *Budget) window(now machine.Instant, service fleet.Pool) *budgetWindow {
	slice := int64(now) / (int64(b.config.Window) / budgetSlices)
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{slice: slice}
		b.services[service] = w
	}
	for passed := 0; w.slice < slice && passed < budgetSlices; passed++ {
		w.slice++
		w.requests[w.slice%budgetSlices], w.retries[w.slice%budgetSlices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
