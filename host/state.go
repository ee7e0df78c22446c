package host

import (
	"sync/atomic"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// state holds what the control loop publishes to traffic goroutines.
type state struct {
	lease     atomic.Int64
	view      atomic.Pointer[fleet.View]
	snapshot  atomic.Pointer[configuration.Snapshot]
	suspended atomic.Pointer[configuration.KeySet]
	draining  atomic.Bool
	storeOK   atomic.Bool
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
