package catalog

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Upstream is the entry that an upstream writes about itself.
type Upstream struct {
	// ID usually changes when an upstream restarts, but not always.
	ID       fleet.Upstream
	Service  fleet.Pool
	Address  netip.AddrPort
	Location fleet.Location
	// Slots is the number of requests that the upstream runs concurrently, at least 1.
	Slots int
	// Draining upstreams get no new requests.
	Draining bool
	// StartedMillis is the Unix time of the start in milliseconds; a new value under
	// the same ID is a new incarnation.
	StartedMillis int64
	// ColdFor is the remaining warm-up time when the entry was written.
	ColdFor time.Duration
}

// Host is the entry of one entry host.
type Host struct {
	ID       fleet.HostID   `json:"id"`
	Location fleet.Location `json:"location"`
	// Callers and Peers are the addresses at which the host serves callers and other
	// hosts.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

// Evacuation stops all requests to the upstreams of a failure domain.
type Evacuation struct {
	FailureDomain fleet.FailureDomain
}
