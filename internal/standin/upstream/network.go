package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Network describes the way between entry hosts and the upstreams of a process.
// A request's entry host is known by its Host header, which entry hosts forward.
type Network struct {
	// EntryHosts maps callers' addresses to locations. Requests with another
	// Host header are not delayed.
	EntryHosts map[string]fleet.Location `json:"entryHosts"`
	// DomainMillis and RegionMillis are one-way delays between two failure
	// domains of a region and between two regions.
	DomainMillis float64 `json:"domainMillis"`
	RegionMillis float64 `json:"regionMillis"`
	// LinkMbit bounds the traffic between the process's regions and each other
	// region, each way; 0 means no bound.
	LinkMbit float64 `json:"linkMbit"`
}

// pathID names one direction between two regions.
type pathID struct{ from, to fleet.Region }

// network delays messages and queues them on links of bounded bandwidth.
type network struct {
	mu       sync.Mutex
	settings Network
	// free is the time at which a link has sent everything that was queued.
	free map[pathID]time.Time
}

func (n *network) set(settings Network) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings = settings
	n.free = map[pathID]time.Time{}
}

// entryHost returns where the entry host of a request runs.
func (n *network) entryHost(host string) (fleet.Location, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	location, ok := n.settings.EntryHosts[host]
	return location, ok
}

// travel returns how long a message of some bytes takes from one place to another.
func (n *network) travel(now time.Time, from, to fleet.Location, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case from.Region == to.Region && from.FailureDomain == to.FailureDomain:
		return 0
	case from.Region == to.Region:
		return millis(n.settings.DomainMillis)
	}
	delay := millis(n.settings.RegionMillis)
	if n.settings.LinkMbit <= 0 {
		return delay
	}
	id := pathID{from.Region, to.Region}
	begin := n.free[id]
	if begin.Before(now) {
		begin = now
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	sent := begin.Add(time.Duration(float64(bytes) * bitsPerByte / (n.settings.LinkMbit * bitsPerMbit) * float64(time.Second)))
	n.free[id] = sent
	return delay + sent.Sub(now)
}

func (u *Upstream) location() fleet.Location {
	return fleet.Location{Region: u.config.Region, FailureDomain: u.config.FailureDomain}
}

// arrive waits until a request has reached the upstream, and depart until its
// answer has reached the entry host. They return early when the client leaves or
// the upstream crashes; the caller finds out by the connection.
func (u *Upstream) arrive(job *work) {
	u.pass(job, len(job.body), true)
}

func (u *Upstream) depart(job *work, bytes int) {
	u.pass(job, bytes, false)
}

func (u *Upstream) pass(job *work, bytes int, inbound bool) {
	from, known := u.network.entryHost(job.request.Host)
	if !known {
		return
	}
	to := u.location()
	if !inbound {
		from, to = to, from
	}
	if delay := u.network.travel(time.Now(), from, to, bytes); delay > 0 {
		job.wait(u.after(delay), nil)
	}
}

func (g *Group) setNetwork(w http.ResponseWriter, r *http.Request) {
	var settings Network
	if !decode(w, r, &settings) {
		return
	}
	if settings.DomainMillis < 0 || settings.RegionMillis < 0 || settings.LinkMbit < 0 {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "delays and bandwidth must not be negative"})
		return
	}
	g.network.set(settings)
	writeJSON(w, http.StatusOK, settings)
}
