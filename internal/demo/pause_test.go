package demo

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
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
	before := f.pauseUntilRetired(ctx, t, paused)
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

// pauseUntilRetired stops a host's process until the others have retired its
// incarnation, which it returns.
func (f *Fleet) pauseUntilRetired(ctx context.Context, t *testing.T, paused *Host) operator.Status {
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
	return before
}

// Guards against a retired incarnation that cuts requests which it has passed on.
func TestRetiredHostAnswersItsRequests(t *testing.T) {
	ctx := testContext(t)
	f := startStopFleet(ctx, t, 3)
	paused := f.Hosts[2]
	// Some requests end during the pause, some soon after it, some too late.
	const first, requests = 5, 8
	outcomes := make(chan string, requests)
	for i := range requests {
		marker := "slow-" + strconv.Itoa(i) + "-"
		f.delayAnswers(ctx, t, marker, time.Duration(first+i)*time.Second)
		c, err := net.Dial("tcp", paused.Callers.String())
		require.NoError(t, err)
		go func() { outcomes <- ask(c, "/"+routeKatalog+"/"+marker) }()
	}
	f.awaitRuns(ctx, t, requests/2)
	f.pauseUntilRetired(ctx, t, paused)
	require.NoError(t, paused.Process.Signal(syscall.SIGCONT))
	counts := map[string]int{}
	for range requests {
		counts[<-outcomes]++
	}
	t.Logf("%v", counts)
	assert.Positive(t, counts["run"])
	assert.Equal(t, requests, counts["run"]+counts["unknown"]+counts["not-run"], "requests with a final answer")
}
