// Package quota holds a customer's rate and burst over all hosts without a
// message for each request: every host has a fixed part of both, and the parts of
// all registered hosts add up to one.
//
// Invariant: in every window of length t the hosts admit together at most
// Burst + Rate*t requests. A bucket starts empty, so a restarted host can't spend
// again what its predecessor has spent.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/policy"
)

// Table holds this host's buckets. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	share   float64
	buckets map[fleet.Customer]*bucket
}

type bucket struct {
	// rate and burst are those of the customer over all hosts.
	rate, burst float64
	tokens      float64
	at          machine.Instant
}

// New returns a table that admits nothing until it has a share.
func New() *Table { return &Table{buckets: make(map[fleet.Customer]*bucket)} }

// ShareOf returns the part of a host: every region has the same part, and every
// host of a region has the same part of that. The shares of all hosts of a list
// add up to one. A host that is not in the list has none.
func ShareOf(hosts []catalog.Host, id fleet.HostID) float64 {
	regions := make(map[fleet.Region]int)
	own := fleet.Region("")
	for _, h := range hosts {
		regions[h.Location.Region]++
		if h.ID == id {
			own = h.Location.Region
		}
	}
	if regions[own] == 0 {
		return 0
	}
	return 1 / float64(len(regions)) / float64(regions[own])
}

// SetShare changes this host's part of every limit. Stored tokens above the new
// part are lost.
func (t *Table) SetShare(now machine.Instant, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.buckets {
		b.refill(now, t.share)
		b.tokens = math.Min(b.tokens, b.burst*share)
	}
	t.share = share
}

// SetCustomers replaces the limits. New customers start without tokens.
func (t *Table) SetCustomers(now machine.Instant, customers []policy.Customer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[fleet.Customer]*bucket, len(customers))
	for _, c := range customers {
		if c.Rate <= 0 {
			continue
		}
		b := t.buckets[c.Name]
		if b == nil {
			b = &bucket{at: now}
		}
		b.refill(now, t.share)
		b.rate, b.burst = c.Rate, c.Burst
		b.tokens = math.Min(b.tokens, c.Burst*t.share)
		next[c.Name] = b
	}
	t.buckets = next
}

func (b *bucket) refill(now machine.Instant, share float64) {
	// A part of the burst below one token could never be spent.
	capacity := math.Max(1, b.burst*share)
	b.tokens = math.Min(capacity, b.tokens+b.rate*share*now.Sub(b.at).Seconds())
	b.at = now
}

// Take spends a token. If there is none, it returns the time after which there
// will be one.
func (t *Table) Take(now machine.Instant, customer fleet.Customer) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[customer]
	if b == nil {
		return true, 0
	}
	b.refill(now, t.share)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	rate := b.rate * t.share
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Refund returns a token for a request that has not run.
func (t *Table) Refund(customer fleet.Customer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[customer]; b != nil {
		b.tokens = math.Min(b.tokens+1, math.Max(1, b.burst*t.share))
	}
}
