package placement

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// digestNumber is the message number of Digest on the wire.
const digestNumber = 550

// OwnWork is the number of a host's own in-flight requests at one upstream.
type OwnWork struct {
	Pool     fleet.Pool     `cbor:"1,keyasint"`
	Upstream fleet.Upstream `cbor:"2,keyasint"`
	InFlight int            `cbor:"3,keyasint"`
}

// ProbeResult is the result of the last probe of an upstream.
type ProbeResult struct {
	Upstream fleet.Upstream `cbor:"1,keyasint"`
	// InFlight is the load that the upstream reported, in requests from all sources.
	InFlight float64 `cbor:"2,keyasint"`
	Draining bool    `cbor:"3,keyasint,omitempty"`
	Failed   bool    `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the probe was sent.
	AgeMillis int64 `cbor:"5,keyasint"`
}

// Digest is what a host sends to the others of its cell every digestInterval. It
// covers only upstreams with in-flight requests and upstreams that the host probes.
type Digest struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Work     []OwnWork        `cbor:"2,keyasint,omitempty"`
	Probes   []ProbeResult    `cbor:"3,keyasint,omitempty"`
	Leaving  []fleet.Upstream `cbor:"4,keyasint,omitempty"`
}

// MessageNumber returns the number of the message type.
func (Digest) MessageNumber() uint16 { return digestNumber }

// Messages returns the message types of the package.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Digest]()}
}

// ListedUpstream is an upstream from the platform's host list.
type ListedUpstream struct {
	Name     fleet.Upstream
	Pool     fleet.Pool
	Address  netip.AddrPort
	Location fleet.Location
	Slots    int
	Leaving  bool
}

// UpstreamsListed is the input with a new copy of the platform's host list.
type UpstreamsListed struct {
	Upstreams []ListedUpstream
}

// MachineInput marks UpstreamsListed as an input.
func (UpstreamsListed) MachineInput() {}

// WorkMeasured is the input with this host's in-flight requests (Table.InFlight).
type WorkMeasured struct {
	Work []OwnWork
}

// MachineInput marks WorkMeasured as an input.
func (WorkMeasured) MachineInput() {}

// ProbeDone is the input with the result of a Probe output.
type ProbeDone struct {
	Upstream fleet.Upstream
	Sent     machine.Instant
	InFlight float64
	Draining bool
	Failed   bool
}

// MachineInput marks ProbeDone as an input.
func (ProbeDone) MachineInput() {}

// LeavingSeen is the input for an upstream that sent a draining response.
type LeavingSeen struct {
	Upstream fleet.Upstream
}

// MachineInput marks LeavingSeen as an input.
func (LeavingSeen) MachineInput() {}

// Probe is the output that requests a probe of an upstream.
type Probe struct {
	Upstream fleet.Upstream
	Address  netip.AddrPort
	Timeout  time.Duration
}

// MachineOutput marks Probe as an output.
func (Probe) MachineOutput() {}

// UpstreamsChanged is the output with the upstreams for Table.SetUpstreams.
type UpstreamsChanged struct {
	Upstreams []KnownUpstream
}

// MachineOutput marks UpstreamsChanged as an output.
func (UpstreamsChanged) MachineOutput() {}

// EstimatesChanged is the output with the arguments of Table.SetEstimates and
// Table.SetRemoteLimits.
type EstimatesChanged struct {
	Estimates []Estimate
	Limits    []RemoteLimit
}

// MachineOutput marks EstimatesChanged as an output.
func (EstimatesChanged) MachineOutput() {}
