package load

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/lookup"
)

const (
	entryHostsPath = "/v1/entry-hosts"
	lookupTimeout  = time.Second
	// lookupRetryInterval is the wait before the known entry hosts are tried again.
	lookupRetryInterval = 200 * time.Millisecond
)

// Lookups counts the lookup requests for entry hosts.
type Lookups struct {
	Asked    int64 `json:"asked"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Failed counts lookup requests without a complete answer.
	Failed int64 `json:"failed"`
}

// caller is one client with its own cache of lookup answers.
type caller struct {
	run      *run
	client   netip.Addr
	nextHost atomic.Uint32

	mu     sync.Mutex
	routes map[fleet.Route]*cachedAnswer
}

type cachedAnswer struct {
	mu        sync.Mutex
	hosts     []netip.AddrPort
	expiresAt time.Time
}

func (c *caller) cacheEntry(route fleet.Route) *cachedAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.routes[route]
	if entry == nil {
		entry = &cachedAnswer{}
		c.routes[route] = entry
	}
	return entry
}

// hosts returns the entry hosts of a route, best first. It sends a lookup when the
// cached answer has expired, and falls back to the expired one if no host answers.
func (c *caller) hosts(ctx context.Context, route fleet.Route) []netip.AddrPort {
	entry := c.cacheEntry(route)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for ctx.Err() == nil {
		if time.Now().Before(entry.expiresAt) {
			return entry.hosts
		}
		if c.refresh(entry, route) || len(entry.hosts) > 0 {
			return entry.hosts
		}
		sleep(ctx, lookupRetryInterval)
	}
	return entry.hosts
}

// demote moves a host that refused a connection to the end of the list until the
// next lookup answer.
func (c *caller) demote(route fleet.Route, host netip.AddrPort) {
	entry := c.cacheEntry(route)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if i := slices.Index(entry.hosts, host); i >= 0 {
		// Requests in flight still use the old slice, so it is not modified.
		entry.hosts = append(slices.Delete(slices.Clone(entry.hosts), i, i+1), host)
	}
}

// refresh sends a lookup to the known entry hosts in turn until one answers.
func (c *caller) refresh(entry *cachedAnswer, route fleet.Route) bool {
	known := c.run.scenario.EntryHosts
	first := int(c.nextHost.Add(1))
	for i := range known {
		answer, ok := c.lookUp(known[(first+i)%len(known)], route)
		if !ok {
			continue
		}
		entry.hosts = entry.hosts[:0:0]
		for _, host := range answer.EntryHosts {
			entry.hosts = append(entry.hosts, host.Address)
		}
		// The answer's max age counts from the time the lookup was sent, so a slow
		// answer is not used longer than the system expects.
		entry.expiresAt = answer.sentAt.Add(time.Duration(answer.MaxAgeSeconds) * time.Second)
		return true
	}
	return false
}

// timedAnswer is a lookup answer with the time at which the lookup was sent.
type timedAnswer struct {
	lookup.Answer
	sentAt time.Time
}

// lookUp sends one lookup; ok is false without a usable answer.
func (c *caller) lookUp(host netip.AddrPort, route fleet.Route) (timedAnswer, bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + host.String() + entryHostsPath + "?route=" + url.QueryEscape(string(route)) +
		"&client=" + c.client.String())
	answer := timedAnswer{sentAt: time.Now()}
	counts := &c.run.lookups
	atomic.AddInt64(&counts.Asked, 1)
	err := c.run.clients.clientFor(host).DoDeadline(request, response, answer.sentAt.Add(lookupTimeout))
	switch {
	case err != nil:
		atomic.AddInt64(&counts.Failed, 1)
		return answer, false
	case response.StatusCode() != fasthttp.StatusOK:
		atomic.AddInt64(&counts.Refused, 1)
		return answer, false
	}
	if json.Unmarshal(response.Body(), &answer.Answer) != nil || len(answer.EntryHosts) == 0 {
		atomic.AddInt64(&counts.Failed, 1)
		return answer, false
	}
	atomic.AddInt64(&counts.Answered, 1)
	return answer, true
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
