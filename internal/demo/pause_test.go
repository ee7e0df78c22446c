package demo

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
)

// stateError reports that a host is still in a state that the test waits to end.
type stateError struct {
	host  fleet.HostID
	state string
}

func (e *stateError) Error() string { return fmt.Sprintf("host %s: %s", e.host, e.state) }

// Guards against a paused host that resumes with its old lease: it must be retired
// while it is paused, and serve again only as a new incarnation.
func TestPausedHostRejoins(t *testing.T) {
	ctx := testContext(t)
	f := startSmall(ctx, t, 3)
	paused := f.Hosts[2]
	before, err := f.Status(ctx, paused)
	require.NoError(t, err)

	require.NoError(t, paused.Process.Signal(syscall.SIGSTOP))
	// One lease without heartbeats until the host is considered dead, then one lease
	// with its margins until its grants have expired, and heartbeats in between.
	retireTimeout := 3*f.Spec.Lease + 2*time.Second
	require.NoError(t, Eventually(ctx, retireTimeout, "the paused host is retired", func() error {
		status, err := f.Status(ctx, f.Hosts[0])
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			if m.Incarnation == before.Incarnation && m.State == fleet.StateActive {
				return &stateError{host: paused.ID, state: "still active"}
			}
		}
		return nil
	}))

	require.NoError(t, paused.Process.Signal(syscall.SIGCONT))
	require.NoError(t, Eventually(ctx, readyTimeout, "the host is back", func() error {
		status, err := f.Status(ctx, paused)
		switch {
		case err != nil:
			return err
		case status.Incarnation == before.Incarnation:
			return &stateError{host: paused.ID, state: "old incarnation"}
		case !status.Ready:
			return &stateError{host: paused.ID, state: status.NotReady}
		}
		return nil
	}))
}
