package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Network describes the network between entry hosts and the upstreams of a
// process. The entry host of a request is identified by the Host header, which
// entry hosts forward.
type Network struct {
	// EntryHosts maps the addresses that callers use to locations. Requests with
	// another Host header are not delayed.
	EntryHosts map[string]fleet.Location `json:"entryHosts"`
	// DomainMillis and RegionMillis are one-way delays between two failure
	// domains of a region and between two regions.
	DomainMillis float64 `json:"domainMillis"`
	RegionMillis float64 `json:"regionMillis"`
	// LinkMbit is the bandwidth in Mbit/s of each direction between two regions;
	// 0 means unlimited.
	LinkMbit float64 `json:"linkMbit"`
}

// linkID identifies one direction between two regions.
type linkID struct{ from, to fleet.Region }

// network delays messages and queues them on links of limited bandwidth.
type network struct {
	mu       sync.Mutex
	settings Network
	// idleAt is the time at which a link has sent all queued messages.
	idleAt map[linkID]time.Time
}

func (n *network) set(settings Network) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings = settings
	n.idleAt = map[linkID]time.Time{}
}

// entryHostLocation returns the location of the entry host with the Host header.
func (n *network) entryHostLocation(host string) (fleet.Location, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	location, ok := n.settings.EntryHosts[host]
	return location, ok
}

// transferDelay returns how long a message takes from one location to another and
// occupies the link between them.
func (n *network) transferDelay(now time.Time, from, to fleet.Location, bytes int) time.Duration {
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
	id := linkID{from.Region, to.Region}
	begin := n.idleAt[id]
	if begin.Before(now) {
		begin = now
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	sent := begin.Add(time.Duration(float64(bytes) * bitsPerByte / (n.settings.LinkMbit * bitsPerMbit) * float64(time.Second)))
	n.idleAt[id] = sent
	return delay + sent.Sub(now)
}

func (u *Upstream) location() fleet.Location {
	return fleet.Location{Region: u.config.Region, FailureDomain: u.config.FailureDomain}
}

// delayRequest waits until a request has reached the upstream, and delayResponse
// until its answer has reached the entry host. They return early when the client
// disconnects or the upstream crashes, which the caller detects on the connection.
func (u *Upstream) delayRequest(job *workRequest) {
	u.delayMessage(job, len(job.body), true)
}

func (u *Upstream) delayResponse(job *workRequest, bytes int) {
	u.delayMessage(job, bytes, false)
}

func (u *Upstream) delayMessage(job *workRequest, bytes int, inbound bool) {
	from, known := u.network.entryHostLocation(job.request.Host)
	if !known {
		return
	}
	to := u.location()
	if !inbound {
		from, to = to, from
	}
	if delay := u.network.transferDelay(time.Now(), from, to, bytes); delay > 0 {
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
