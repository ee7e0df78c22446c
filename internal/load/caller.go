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
	// lookupRetry is the wait before another round over the known entry hosts.
	lookupRetry = 200 * time.Millisecond
)

// Lookups counts the questions for entry hosts.
type Lookups struct {
	Asked    int64 `json:"asked"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Failed counts questions without a complete answer.
	Failed int64 `json:"failed"`
}

// caller is one client with its own cache of look-up answers.
type caller struct {
	run    *run
	client netip.Addr
	next   atomic.Uint32

	mu     sync.Mutex
	routes map[fleet.Route]*cachedAnswer
}

type cachedAnswer struct {
	mu    sync.Mutex
	hosts []netip.AddrPort
	until time.Time
}

func (c *caller) cached(route fleet.Route) *cachedAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.routes[route]
	if entry == nil {
		entry = &cachedAnswer{}
		c.routes[route] = entry
	}
	return entry
}

// hosts returns the entry hosts of a route, best first. It asks when the cached
// answer has lapsed, and goes on with the lapsed one if no host answers.
func (c *caller) hosts(ctx context.Context, route fleet.Route) []netip.AddrPort {
	entry := c.cached(route)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for ctx.Err() == nil {
		if time.Now().Before(entry.until) {
			return entry.hosts
		}
		if c.ask(entry, route) || len(entry.hosts) > 0 {
			return entry.hosts
		}
		pause(ctx, lookupRetry)
	}
	return entry.hosts
}

// demote moves a host that refused a connection behind the others until the next
// answer.
func (c *caller) demote(route fleet.Route, host netip.AddrPort) {
	entry := c.cached(route)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if at := slices.Index(entry.hosts, host); at >= 0 {
		// Requests under way hold the old slice.
		entry.hosts = append(slices.Delete(slices.Clone(entry.hosts), at, at+1), host)
	}
}

// ask asks the known entry hosts one after another until one answers.
func (c *caller) ask(entry *cachedAnswer, route fleet.Route) bool {
	known := c.run.scenario.EntryHosts
	first := int(c.next.Add(1))
	for i := range known {
		answer, ok := c.askHost(known[(first+i)%len(known)], route)
		if !ok {
			continue
		}
		// The life of the answer counts from before the question was sent, so a
		// slow answer is not used longer than the system expects.
		entry.hosts = entry.hosts[:0:0]
		for _, host := range answer.EntryHosts {
			entry.hosts = append(entry.hosts, host.Address)
		}
		entry.until = answer.asked.Add(time.Duration(answer.MaxAgeSeconds) * time.Second)
		return true
	}
	return false
}

type timedAnswer struct {
	lookup.Answer
	asked time.Time
}

func (c *caller) askHost(host netip.AddrPort, route fleet.Route) (timedAnswer, bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + host.String() + entryHostsPath + "?route=" + url.QueryEscape(string(route)) +
		"&client=" + c.client.String())
	answer := timedAnswer{asked: time.Now()}
	counts := &c.run.lookups
	atomic.AddInt64(&counts.Asked, 1)
	err := c.run.clients.to(host).DoDeadline(request, response, answer.asked.Add(lookupTimeout))
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

// pause waits or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
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
