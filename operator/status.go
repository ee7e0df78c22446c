package operator

import (
	"net/netip"

	"github.com/catkinspring/catkinspring/fleet"
)

// Status is the answer of GET /v1/status: what one host knows. Figures of
// traffic are this host's own; package client adds them up over the hosts.
type Status struct {
	Host          fleet.HostID      `json:"host"`
	Incarnation   fleet.Incarnation `json:"incarnation"`
	Location      fleet.Location    `json:"location"`
	Version       string            `json:"version"`
	Ready         bool              `json:"ready"`
	NotReady      string            `json:"notReady,omitempty"`
	Draining      bool              `json:"draining"`
	LeaseMillis   int64             `json:"leaseMillis"`
	Revision      fleet.Revision    `json:"revision"`
	RosterVersion uint64            `json:"rosterVersion"`
	// StoreOK says how the host's last call to the object store ended, and
	// StoreCallMillis how long ago that was; negative before the first call. Hosts
	// of a cell call the store for each other.
	StoreOK         bool               `json:"storeReachable"`
	StoreCallMillis int64              `json:"storeCallMillis"`
	Members         []fleet.ViewMember `json:"members"`
	Partitions      int                `json:"partitionsOwned"`
	// Operators are the operators' addresses of the members, where known.
	Operators map[fleet.HostID]netip.AddrPort `json:"operators,omitempty"`
	Running   int                             `json:"runningRequests"`

	Shares      []Share       `json:"shares,omitempty"`
	Capacity    []Capacity    `json:"capacity,omitempty"`
	Shifts      []Shift       `json:"shifts,omitempty"`
	Quarantined []Quarantined `json:"quarantined,omitempty"`
	Alerts      []Alert       `json:"alerts,omitempty"`
	// AlertEvaluator is the host that evaluates the alert rules; empty if this
	// host knows none.
	AlertEvaluator fleet.HostID `json:"alertEvaluator,omitempty"`
}

// Share is a host's base part of a customer's rate and what it did with it.
// Loans between hosts move parts for seconds and are not in it.
type Share struct {
	Customer fleet.Customer `json:"customer"`
	// Rate and Burst are the customer's, over the fleet, in requests a second and
	// requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Part is the host's base part of both, 0 to 1.
	Fraction float64 `json:"part"`
	// Admitted and Refused are requests a second over the last seconds.
	Admitted float64 `json:"admittedPerSecond"`
	Refused  float64 `json:"refusedPerSecond"`
}

// Capacity is the part of a pool that is in one region. Leaving upstreams are
// not counted.
type Capacity struct {
	Pool   fleet.Pool   `json:"pool"`
	Region fleet.Region `json:"region"`
	// Slots is the number of requests that the upstreams can run at a time.
	Slots     int `json:"slots"`
	Upstreams int `json:"upstreams"`
	Leaving   int `json:"leaving"`
	// InFlight counts the requests of this host.
	InFlight int `json:"inFlight"`
}

// Shift is traffic of a route that a host sends to another region.
type Shift struct {
	Route     fleet.Route  `json:"route"`
	From      fleet.Region `json:"from"`
	To        fleet.Region `json:"to"`
	PerSecond float64      `json:"requestsPerSecond"`
}

// Quarantined is a kind of request that is refused because upstreams crashed
// under it.
type Quarantined struct {
	Fingerprint string `json:"fingerprint"`
	SinceMillis int64  `json:"sinceMillis"`
}

// Alert is a firing alert.
type Alert struct {
	Name     string `json:"name"`
	Severity string `json:"severity,omitempty"`
	Rule     string `json:"rule"`
	// Value is the measure at the last evaluation.
	Value       float64 `json:"value"`
	SinceMillis int64   `json:"sinceMillis"`
}
