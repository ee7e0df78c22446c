package peer

import (
	"context"
	"sync"
	"time"
)

// item is an encoded message in a send queue.
type item struct {
	wire     []byte
	queuedAt time.Time
}

// queue is a bounded FIFO queue that drops its oldest item when it is full.
type queue struct {
	limit int
	ready chan struct{}

	mu    sync.Mutex
	items []item
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, ready: make(chan struct{}, 1)}
}

// push adds an item and reports whether the oldest one was dropped to make room.
func (q *queue) push(i item) bool {
	q.mu.Lock()
	dropped := len(q.items) >= q.limit
	if dropped {
		q.items[0] = item{}
		q.items = q.items[1:]
	}
	q.items = append(q.items, i)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return dropped
}

// pop removes the oldest item, waiting for one if the queue is empty. It returns
// false when the context is cancelled.
func (q *queue) pop(ctx context.Context) (item, bool) {
	for {
		if i, ok := q.tryPop(); ok {
			return i, true
		}
		select {
		case <-q.ready:
		case <-ctx.Done():
			return item{}, false
		}
	}
}

func (q *queue) tryPop() (item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item{}, false
	}
	i := q.items[0]
	q.items[0] = item{}
	q.items = q.items[1:]
	return i, true
}
