package host

import (
	"net/netip"
	"sync/atomic"

	"github.com/catkinspring/catkinspring/alert"
	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gateway"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/placement"
)

// state holds what the control loop publishes to traffic goroutines.
type state struct {
	// leaseUntil is the instant at which the lease ends.
	leaseUntil atomic.Int64
	// leaseSince is the instant since which the lease has been valid without a gap.
	leaseSince atomic.Int64
	view       atomic.Pointer[fleet.View]
	snapshot   atomic.Pointer[configuration.Snapshot]
	suspended  atomic.Pointer[configuration.KeySet]
	contacts   atomic.Pointer[map[fleet.HostID]netip.AddrPort]
	// head is the encoded configuration head that was last read or written.
	head atomic.Pointer[[]byte]
	// upstreams is the last list of upstreams that the placement published.
	upstreams atomic.Pointer[[]placement.KnownUpstream]
	alerts    atomic.Pointer[alert.CurrentAlerts]
	draining  atomic.Bool
	// stopPlan is nil before a planned stop.
	stopPlan atomic.Pointer[gateway.StopPlan]
	// pendingConfirmations counts ended operations whose owner has not confirmed the end.
	pendingConfirmations atomic.Int64
	// drainSince is the instant at which the drain began; 0 before.
	drainSince atomic.Int64
	// lastStoreResult is the instant of the last response or failure of the store.
	// storeDownSince is the instant of the first failure since the last response;
	// 0 while the store is reachable.
	lastStoreResult atomic.Int64
	storeDownSince  atomic.Int64
	storeOK         atomic.Bool
	// storeContacted is true once a store call has succeeded or failed.
	storeContacted atomic.Bool
}

// ValidUntil returns the instant at which the host's lease ends.
func (s *state) ValidUntil() machine.Instant {
	return machine.Instant(s.leaseUntil.Load())
}

func (s *state) keySuspended(id string) bool {
	set := s.suspended.Load()
	return set != nil && set.Has(id)
}

func (s *state) revision() fleet.Revision {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}
