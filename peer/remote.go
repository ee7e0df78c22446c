package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Limits of the send queues of a peer, in messages.
const (
	smallQueueLimit = 256
	largeQueueLimit = 16
)

// largeMessageSize is the size in bytes above which a message is sent on a stream
// of its own, so that it does not delay heartbeats.
const largeMessageSize = 16 << 10

// staleAfter is the age above which a queued message is dropped instead of sent:
// by then its sender has sent it again or given up.
const staleAfter = 3 * time.Second

// Backoff between attempts to connect. Half of each interval is jitter.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// dialDelay is how long the host with the higher ID waits before it dials, so
	// that usually only the other host does and there is one connection.
	dialDelay = 250 * time.Millisecond
)

// remote is the state of a peer: its address, send queues and connection.
type remote struct {
	transport *Transport
	host      fleet.HostID
	small     *queue
	large     *queue
	// changed wakes the dial loop after a change of address or connection.
	changed chan struct{}

	mu      sync.Mutex
	address netip.AddrPort
	active  *connection
}

func newRemote(transport *Transport, host fleet.HostID) *remote {
	return &remote{
		transport: transport,
		host:      host,
		small:     newQueue(smallQueueLimit),
		large:     newQueue(largeQueueLimit),
		changed:   make(chan struct{}, 1),
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

// canSend reports whether the peer has an address or a connection.
func (r *remote) canSend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address.IsValid() || r.active != nil
}

func (r *remote) enqueue(wire []byte) {
	q := r.small
	if len(wire) > largeMessageSize {
		q = r.large
	}
	if q.push(item{wire: wire, queuedAt: time.Now()}) {
		r.transport.counters.dropsQueue.Inc(1)
	}
}

// dialLoop keeps a connection to the peer open while the peer has an address.
func (r *remote) dialLoop() {
	backoff := minBackoff
	if r.transport.config.Self.Host > r.host {
		r.sleep(dialDelay)
	}
	for r.transport.ctx.Err() == nil {
		address, connected := r.state()
		if connected || !address.IsValid() {
			r.waitChanged()
			continue
		}
		if r.transport.dial(r.host, address) {
			backoff = minBackoff
		}
		if _, connected := r.state(); connected {
			continue
		}
		r.sleep(backoff/2 + rand.N(backoff/2))
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
	case <-r.transport.ctx.Done():
	}
}

func (r *remote) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.transport.ctx.Done():
	}
}

// attach makes a connection the one used for sending. It returns false if there
// is a preferred one. Of two connections of one incarnation, both sides keep the
// one that the host with the lower ID dialed, or the newer one if the same host
// dialed both. A connection of another incarnation stays open: if it were closed,
// two processes with the identity of one host would keep replacing each other's
// connections forever.
func (r *remote) attach(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.active
	if old != nil && old.member == c.member && old.alive() {
		if r.dialedByLowerID(old) && !r.dialedByLowerID(c) {
			return false
		}
		old.cancelSend()
		old.close(closeDuplicate, "replaced by another connection")
		r.transport.counters.duplicates.Inc(1)
	} else if old != nil {
		old.cancelSend()
	}
	r.active = c
	return true
}

// dialedByLowerID reports whether the host with the lower ID dialed a connection.
func (r *remote) dialedByLowerID(c *connection) bool {
	return c.dialed == (r.transport.config.Self.Host < r.host)
}

// detach clears the active connection if it is the given one, which has closed.
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

// next waits for the oldest message of a queue that is not stale. It returns false
// when the context is cancelled.
func (r *remote) next(ctx context.Context, q *queue) ([]byte, bool) {
	for {
		i, ok := q.pop(ctx)
		if !ok {
			return nil, false
		}
		if time.Since(i.queuedAt) <= staleAfter {
			return i.wire, true
		}
		r.transport.counters.dropsStale.Inc(1)
	}
}
