package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/internal/clock"
	"github.com/catkinspring/catkinspring/policy"
)

// Guards against a host that sends a request after its machine was suspended beyond
// the deadline: the runtime's clock has stood still meanwhile.
func TestRequestThatExpiredDuringSuspensionIsNotSent(t *testing.T) {
	e := &Edge{clock: clock.New()}
	r := &request{e: e, in: &ingress.Request{Received: time.Now()}, route: &policy.Route{}, fields: ingress.Fields{TimeLeft: 5 * time.Second}}
	r.setDeadline()
	require.InDelta(t, 5, r.timeLeft().Seconds(), 1)
	// A suspension of 5 s moves the host's clock, but not the runtime's.
	r.expires = r.expires.Add(-5 * time.Second)
	require.LessOrEqual(t, r.timeLeft(), time.Duration(0))
	response, outcome := r.pick(context.Background())
	require.Equal(t, "not_run", outcome)
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
}
