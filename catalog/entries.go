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
	// Generation is the Registered of the last host in the list by which the host divides
	// the limits; 0 before its first record. Joined is the store revision of that record.
	Generation uint64 `json:"generation,omitempty"`
	Joined     uint64 `json:"joined,omitempty"`
	// HeldBy is the host that holds this host's part of the limits in its place; empty if it
	// holds the part itself. Reclaimed is true if this host is back and wants it again;
	// nobody uses the part then.
	HeldBy    fleet.HostID `json:"heldBy,omitempty"`
	Reclaimed bool         `json:"reclaimed,omitempty"`
	// SuspectedBy is the host that found the holder silent; empty if none has.
	SuspectedBy fleet.HostID `json:"suspectedBy,omitempty"`
	// Registered is the store revision that created the entry, Revision that of its last
	// change; both are 0 for an entry that is not in the store.
	Registered uint64 `json:"-"`
	Revision   uint64 `json:"-"`
	// Unreadable is true if the entry in the store is unreadable and the other fields are
	// those of the last readable one.
	Unreadable bool `json:"-"`
}

// SamePlace reports whether two entries are of the same host at the same addresses.
func (h Host) SamePlace(other Host) bool {
	return h.ID == other.ID && h.Location == other.Location && h.Callers == other.Callers && h.Peers == other.Peers
}

// Holder returns the host that uses this host's part of the limits; empty if none does.
func (h Host) Holder() fleet.HostID {
	switch {
	case h.HeldBy == "":
		return h.ID
	case h.Reclaimed:
		return ""
	}
	return h.HeldBy
}

// Unregistered returns the entry of a host as it was before it was in the store.
func (h Host) Unregistered() Host {
	return Host{ID: h.ID, Location: h.Location, Callers: h.Callers, Peers: h.Peers}
}

// Evacuation stops all requests to the upstreams of a failure domain.
type Evacuation struct {
	FailureDomain fleet.FailureDomain
}

// Crash is a crash of an upstream while a request was in flight there.
type Crash struct {
	Fingerprint uint64         `json:"fingerprint"`
	Upstream    fleet.Upstream `json:"upstream"`
	// Incarnation is that of the upstream as the reporting host knew it; 0 if unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
	// ID identifies the report.
	ID uint64 `json:"id"`
	// AtMillis is the Unix time of the crash in milliseconds, by the clock of a host.
	AtMillis int64 `json:"at"`
}

// CrashRecord has the crashes under requests that all hosts refuse. It outlasts all processes.
type CrashRecord struct {
	Crashes []Crash `json:"crashes"`
	// Revision is the store revision of the record; 0 if there is none.
	Revision uint64 `json:"-"`
}

// UnreadableRecordError reports a record of crashes that another writer has replaced.
type UnreadableRecordError struct{ Cause error }

func (e *UnreadableRecordError) Error() string {
	return "the record of crashes is unreadable: " + e.Cause.Error()
}

func (e *UnreadableRecordError) Unwrap() error { return e.Cause }
