package catalog

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Upstream is what an upstream says of itself.
type Upstream struct {
	// ID changes with most starts of an upstream, but not with all of them.
	ID       fleet.Upstream
	Service  fleet.Pool
	Address  netip.AddrPort
	Location fleet.Location
	// Slots is the number of requests that it runs at a time, at least 1.
	Slots int
	// Draining upstreams get no new requests.
	Draining bool
	// StartedMillis is the Unix time of its start; a new one under the same ID is
	// a new incarnation.
	StartedMillis int64
	// ColdFor is how much longer it was cold when it wrote the entry.
	ColdFor time.Duration
}

// Host is one entry host.
type Host struct {
	ID       fleet.HostID   `json:"id"`
	Location fleet.Location `json:"location"`
	// Callers and Peers are the addresses for callers and for other hosts.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

// Evacuation asks that nothing be sent to a failure domain's upstreams.
type Evacuation struct {
	FailureDomain fleet.FailureDomain
}
