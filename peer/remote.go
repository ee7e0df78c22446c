package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Bounds of the send queues of a peer, in messages.
const (
	smallQueueLimit = 256
	largeQueueLimit = 16
)

// largeMessageSize is the size in bytes above which a message gets a stream of
// its own, so that it does not delay heartbeats.
const largeMessageSize = 16 << 10

// staleAfter is the age at which a queued message is dropped instead of sent:
// its sender has repeated it or given up by then.
const staleAfter = 3 * time.Second

// Waits between attempts to connect. Half of each wait is random.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// yieldDial is how long the host with the higher id waits for the other one
	// to connect, so that there is usually one connection and not two.
	yieldDial = 250 * time.Millisecond
)

// remote is a peer with its queues and its connection.
type remote struct {
	t     *Transport
	host  fleet.HostID
	small *queue
	large *queue
	// changed wakes the dial loop.
	changed chan struct{}

	mu      sync.Mutex
	address netip.AddrPort
	active  *connection
}

func newRemote(t *Transport, host fleet.HostID) *remote {
	return &remote{
		t:       t,
		host:    host,
		small:   newQueue(smallQueueLimit),
		large:   newQueue(largeQueueLimit),
		changed: make(chan struct{}, 1),
	}
}

func (r *remote) setAddress(address netip.AddrPort) {
	r.mu.Lock()
	changed := r.address != address
	r.address = address
	r.mu.Unlock()
	if changed {
		r.wake()
	}
}

func (r *remote) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// wanted reports whether messages to the peer have a way to go.
func (r *remote) wanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address.IsValid() || r.active != nil
}

func (r *remote) enqueue(wire []byte) {
	q := r.small
	if len(wire) > largeMessageSize {
		q = r.large
	}
	if q.push(item{wire: wire, queued: time.Now()}) {
		r.t.counters.dropsQueue.Inc(1)
	}
}

// dialLoop keeps a connection to the peer while it has an address.
func (r *remote) dialLoop() {
	backoff := minBackoff
	if r.t.config.Self.Host > r.host {
		r.pause(yieldDial)
	}
	for r.t.ctx.Err() == nil {
		address, connected := r.state()
		if connected || !address.IsValid() {
			r.waitChanged()
			continue
		}
		if r.t.dial(r.host, address) {
			backoff = minBackoff
		}
		if _, connected := r.state(); connected {
			continue
		}
		r.pause(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (r *remote) state() (address netip.AddrPort, connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address, r.active != nil
}

func (r *remote) waitChanged() {
	select {
	case <-r.changed:
	case <-r.t.ctx.Done():
	}
}

func (r *remote) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.t.ctx.Done():
	}
}

// attach makes a connection the one to send on. It returns false if there is a
// better one. Of two connections of one incarnation, both sides keep the one
// that the host with the lower id dialed, and the newer one if both are equal. A
// connection of another incarnation is left open: closing it would make two
// processes with the identity of one host connect in turns for ever.
func (r *remote) attach(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.active
	if old != nil && old.member == c.member && old.alive() {
		if r.byLower(old) && !r.byLower(c) {
			return false
		}
		old.cancel()
		old.close(closeDuplicate, "replaced by another connection")
		r.t.counters.duplicates.Inc(1)
	} else if old != nil {
		old.cancel()
	}
	r.active = c
	return true
}

// byLower reports whether the host with the lower id dialed a connection.
func (r *remote) byLower(c *connection) bool {
	return c.dialed == (r.t.config.Self.Host < r.host)
}

// detach forgets a connection that ended.
func (r *remote) detach(c *connection) {
	r.mu.Lock()
	if r.active == c {
		r.active = nil
	}
	r.mu.Unlock()
	r.wake()
}

func (r *remote) closeConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active != nil {
		r.active.close(closeShutdown, "shutting down")
	}
}

// next returns the oldest message of a queue that is not stale.
func (r *remote) next(ctx context.Context, q *queue) ([]byte, bool) {
	for {
		i, ok := q.pop(ctx)
		if !ok {
			return nil, false
		}
		if time.Since(i.queued) <= staleAfter {
			return i.wire, true
		}
		r.t.counters.dropsStale.Inc(1)
	}
}
