package operator

import (
	"net/netip"

	"github.com/catkinspring/catkinspring/fleet"
)

// Status is the response to GET /v1/status: the state of one host and its view of
// the cell. Traffic counts cover this host only; package client sums them.
type Status struct {
	Host        fleet.HostID      `json:"host"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Location    fleet.Location    `json:"location"`
	Version     string            `json:"version"`
	Ready       bool              `json:"ready"`
	// NotReady is the reason why the host is not ready.
	NotReady      string         `json:"notReady,omitempty"`
	Draining      bool           `json:"draining"`
	LeaseMillis   int64          `json:"leaseMillis"`
	Revision      fleet.Revision `json:"revision"`
	RosterVersion uint64         `json:"rosterVersion"`
	// StoreOK is true if the host's last call to the object store succeeded.
	// StoreCallMillis is how long ago that was; negative before the first call.
	// Hosts of a cell call the store on behalf of each other.
	StoreOK         bool               `json:"storeReachable"`
	StoreCallMillis int64              `json:"storeCallMillis"`
	Members         []fleet.ViewMember `json:"members"`
	Partitions      int                `json:"partitionsOwned"`
	// Operators holds the known operators' addresses of the members.
	Operators map[fleet.HostID]netip.AddrPort `json:"operators,omitempty"`
	Running   int                             `json:"runningRequests"`

	Shares      []Share       `json:"shares,omitempty"`
	Capacity    []Capacity    `json:"capacity,omitempty"`
	Shifts      []Shift       `json:"shifts,omitempty"`
	Quarantined []Quarantined `json:"quarantined,omitempty"`
	Alerts      []Alert       `json:"alerts,omitempty"`
	// AlertEvaluator is the host that evaluates the alert rules; empty if this
	// host does not know it.
	AlertEvaluator fleet.HostID `json:"alertEvaluator,omitempty"`
}

// Share is a host's base share of a customer's rate and its use of that share.
// Loans between hosts, which move shares for seconds, are not included.
type Share struct {
	Customer fleet.Customer `json:"customer"`
	// Rate and Burst are the customer's limits in the whole fleet, in requests per
	// second and requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Fraction is the host's base share of both limits, 0 to 1.
	Fraction float64 `json:"part"`
	// Admitted and Refused are requests per second over the last seconds.
	Admitted float64 `json:"admittedPerSecond"`
	Refused  float64 `json:"refusedPerSecond"`
}

// Capacity is the capacity of a pool in one region, without upstreams that are
// leaving.
type Capacity struct {
	Pool   fleet.Pool   `json:"pool"`
	Region fleet.Region `json:"region"`
	// Slots is the number of requests that the upstreams can run concurrently.
	Slots     int `json:"slots"`
	Upstreams int `json:"upstreams"`
	Leaving   int `json:"leaving"`
	// InFlight counts the requests in flight from this host.
	InFlight int `json:"inFlight"`
}

// Shift is the traffic of a route that a host sends to another region.
type Shift struct {
	Route     fleet.Route  `json:"route"`
	From      fleet.Region `json:"from"`
	To        fleet.Region `json:"to"`
	PerSecond float64      `json:"requestsPerSecond"`
}

// Quarantined identifies requests that are refused because upstreams crashed while
// running such requests.
type Quarantined struct {
	Fingerprint string `json:"fingerprint"`
	SinceMillis int64  `json:"sinceMillis"`
}

// Alert is a firing alert.
type Alert struct {
	Name     string `json:"name"`
	Severity string `json:"severity,omitempty"`
	Rule     string `json:"rule"`
	// Value is the measured value at the last evaluation.
	Value       float64 `json:"value"`
	SinceMillis int64   `json:"sinceMillis"`
}
