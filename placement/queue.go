package placement

import (
	"container/heap"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// fairQueue orders waiting requests by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queuing", 1996): a customer's requests are served in
// proportion to its weight, and a customer that sends more than its part waits
// behind its own requests only.
type fairQueue struct {
	waiting     waiterHeap
	perCustomer map[fleet.Customer]int
	finish      map[fleet.Customer]float64
	virtual     float64
	sequence    uint64
	maxCustomer int
	maxTotal    int
}

// waiter is a request that waits for a slot.
type waiter struct {
	request  traffic.PlaceRequest
	granted  chan *slot
	start    float64
	sequence uint64
	index    int
}

func newFairQueue(maxCustomer, maxTotal int) *fairQueue {
	return &fairQueue{
		perCustomer: map[fleet.Customer]int{},
		finish:      map[fleet.Customer]float64{},
		maxCustomer: maxCustomer,
		maxTotal:    maxTotal,
	}
}

// push adds a request, or returns nil if its customer's or the total bound is met.
func (q *fairQueue) push(request traffic.PlaceRequest) *waiter {
	customer := request.Customer
	if len(q.waiting) >= q.maxTotal || q.perCustomer[customer] >= q.maxCustomer {
		return nil
	}
	q.sequence++
	w := &waiter{request: request, granted: make(chan *slot, 1), sequence: q.sequence}
	w.start = max(q.virtual, q.finish[customer])
	q.finish[customer] = w.start + 1/float64(max(1, request.Weight))
	q.perCustomer[customer]++
	heap.Push(&q.waiting, w)
	return w
}

// remove takes a waiter out, wherever it is. It returns false if the waiter is
// no longer queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.forget(w.request.Customer)
	return true
}

// serve takes a waiter out because it got a slot.
func (q *fairQueue) serve(w *waiter) {
	q.virtual = max(q.virtual, w.start)
	q.remove(w)
}

func (q *fairQueue) forget(customer fleet.Customer) {
	q.perCustomer[customer]--
	if q.perCustomer[customer] > 0 {
		return
	}
	delete(q.perCustomer, customer)
	if len(q.waiting) == 0 {
		// Nobody waits, so no customer is ahead of another.
		clear(q.finish)
	}
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
