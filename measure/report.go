package measure

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
)

// Series holds the labels of a count. The values come from the configuration and
// from fixed sets, never from what a caller sent.
type Series struct {
	Route    fleet.Route    `cbor:"1,keyasint,omitempty"`
	Customer fleet.Customer `cbor:"2,keyasint,omitempty"`
	// Kind is the problem kind of a refusal; empty for a response of an upstream.
	Kind problem.Kind `cbor:"3,keyasint,omitempty"`
	// Outcome is the outcome of the request.
	Outcome problem.Outcome `cbor:"4,keyasint,omitempty"`
	// ServerError is true for a response of an upstream with a 5xx status.
	ServerError bool `cbor:"5,keyasint,omitempty"`
	// Sent is true if at least one attempt at an upstream was made.
	Sent bool `cbor:"6,keyasint,omitempty"`
}

// Count is the number of requests of a series in the window.
type Count struct {
	Series   Series `cbor:"1,keyasint"`
	Requests uint64 `cbor:"2,keyasint"`
}

// Latency holds the latencies of the answered requests of a customer on a route.
type Latency struct {
	Route    fleet.Route    `cbor:"1,keyasint,omitempty"`
	Customer fleet.Customer `cbor:"2,keyasint,omitempty"`
	// Histogram is in microseconds, in the V2 encoding of HdrHistogram.
	Histogram []byte `cbor:"3,keyasint"`
}

// Decode returns the histogram, or nil if it can't be read.
func (l *Latency) Decode() *hdrhistogram.Histogram {
	h, err := hdrhistogram.Decode(l.Histogram)
	if err != nil {
		return nil
	}
	return h
}

// Shift counts the attempts of a route that were sent to another region.
type Shift struct {
	Route    fleet.Route  `cbor:"1,keyasint"`
	From     fleet.Region `cbor:"2,keyasint"`
	To       fleet.Region `cbor:"3,keyasint"`
	Attempts uint64       `cbor:"4,keyasint"`
}

// Traffic holds the traffic counts of a host over the last WindowSeconds.
type Traffic struct {
	Counts    []Count   `cbor:"1,keyasint,omitempty"`
	Latencies []Latency `cbor:"2,keyasint,omitempty"`
	Shifts    []Shift   `cbor:"3,keyasint,omitempty"`
}

// Capacity is the capacity of a pool in one region. Leaving upstreams are counted
// neither in Upstreams nor in Slots.
type Capacity struct {
	Pool      fleet.Pool   `cbor:"1,keyasint"`
	Region    fleet.Region `cbor:"2,keyasint"`
	Slots     int          `cbor:"3,keyasint"`
	Upstreams int          `cbor:"4,keyasint"`
	Leaving   int          `cbor:"5,keyasint"`
	// InFlight counts the requests of the reporting host.
	InFlight int `cbor:"6,keyasint"`
}

// Report holds the metrics that a host reports about itself.
type Report struct {
	Traffic  Traffic    `cbor:"1,keyasint"`
	Capacity []Capacity `cbor:"2,keyasint,omitempty"`
	// LeaseMillis is the remaining time of the host's lease.
	LeaseMillis int64 `cbor:"3,keyasint"`
	// StoreOutageMillis is the time since the store stopped answering the host; 0
	// while it answers, negative if the host has not called it recently.
	StoreOutageMillis int64 `cbor:"4,keyasint"`
	// DrainMillis is the time since the host began to drain; 0 if it is not draining.
	DrainMillis int64 `cbor:"5,keyasint"`
	// Quarantined is the number of request fingerprints that the host refuses.
	Quarantined int `cbor:"6,keyasint"`
}
