package host

import (
	"net/netip"
	"sync/atomic"

	"github.com/catkinspring/catkinspring/alert"
	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/placement"
)

// state holds what the control loop publishes to traffic goroutines.
type state struct {
	lease atomic.Int64
	// leaseSince is the instant from which the lease has been valid without a gap.
	leaseSince atomic.Int64
	view       atomic.Pointer[fleet.View]
	snapshot   atomic.Pointer[configuration.Snapshot]
	suspended  atomic.Pointer[configuration.KeySet]
	contacts   atomic.Pointer[map[fleet.HostID]netip.AddrPort]
	// head is the last head of the configuration that was read or written, as the
	// store holds it.
	head atomic.Pointer[[]byte]
	// upstreams is the last list of upstreams that the placement published.
	upstreams atomic.Pointer[[]placement.KnownUpstream]
	alerts    atomic.Pointer[alert.CurrentAlerts]
	draining  atomic.Bool
	// pendingReports counts ended operations whose owner has not confirmed the end.
	pendingReports atomic.Int64
	// drainSince is the instant at which the planned stop began; 0 before.
	drainSince atomic.Int64
	// storeCalled is the instant of the last answer or failure of the store,
	// storeLost that of the first failure since it answered; 0 while it answers.
	storeCalled atomic.Int64
	storeLost   atomic.Int64
	storeOK     atomic.Bool
	// storeAsked is true once the store has answered or failed to answer.
	storeAsked atomic.Bool
}

// ValidUntil returns the end of the host's lease.
func (s *state) ValidUntil() machine.Instant {
	return machine.Instant(s.lease.Load())
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
