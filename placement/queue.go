package placement

import (
	"container/heap"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// fairQueue orders waiting requests by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queuing", 1996): a customer's requests are served in
// proportion to its weight, and a customer that sends more than its share waits
// only behind its own requests.
type fairQueue struct {
	waiting        waiterHeap
	perCustomer    map[fleet.Customer]int
	finishTags     map[fleet.Customer]float64
	virtualTime    float64
	sequence       uint64
	maxPerCustomer int
	maxTotal       int
}

// waiter is a request that waits for a slot.
type waiter struct {
	request  traffic.SlotRequest
	granted  chan *slot
	startTag float64
	sequence uint64
	index    int
}

func newFairQueue(maxPerCustomer, maxTotal int) *fairQueue {
	return &fairQueue{
		perCustomer:    map[fleet.Customer]int{},
		finishTags:     map[fleet.Customer]float64{},
		maxPerCustomer: maxPerCustomer,
		maxTotal:       maxTotal,
	}
}

// push adds a request, or returns nil if the customer's or the total limit is reached.
func (q *fairQueue) push(request traffic.SlotRequest) *waiter {
	customer := request.Customer
	if len(q.waiting) >= q.maxTotal || q.perCustomer[customer] >= q.maxPerCustomer {
		return nil
	}
	q.sequence++
	w := &waiter{request: request, granted: make(chan *slot, 1), sequence: q.sequence}
	w.startTag = max(q.virtualTime, q.finishTags[customer])
	q.finishTags[customer] = w.startTag + 1/float64(max(1, request.Weight))
	q.perCustomer[customer]++
	heap.Push(&q.waiting, w)
	return w
}

// remove removes a waiter from any position of the queue. It returns false if the
// waiter is no longer queued.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.decrementCustomer(w.request.Customer)
	return true
}

// serve removes a waiter that got a slot and advances the virtual time.
func (q *fairQueue) serve(w *waiter) {
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.remove(w)
}

func (q *fairQueue) decrementCustomer(customer fleet.Customer) {
	q.perCustomer[customer]--
	if q.perCustomer[customer] > 0 {
		return
	}
	delete(q.perCustomer, customer)
	if len(q.waiting) == 0 {
		// With an empty queue no customer is ahead of another.
		clear(q.finishTags)
	}
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
	items := *h
	w := items[len(items)-1]
	items[len(items)-1] = nil
	*h = items[:len(items)-1]
	w.index = -1
	return w
}
