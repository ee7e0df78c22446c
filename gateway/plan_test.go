package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
)

// Guards against a stopping host that passes on what it has no time for, and against
// one that refuses what fits.
func TestStopPlanAdmitsRequestsThatFit(t *testing.T) {
	const end = machine.Instant(30 * time.Second)
	plan := &StopPlan{End: end, Reserve: 15 * time.Second}
	for _, test := range []struct {
		left, timeout time.Duration
		admitted      bool
	}{
		{30 * time.Second, 30 * time.Second, true},
		{15 * time.Second, 30 * time.Second, true},
		{14 * time.Second, 30 * time.Second, false},
		{14 * time.Second, 14 * time.Second, true},
		{time.Second, time.Second, true},
		{time.Second, 2 * time.Second, false},
		{-time.Second, time.Millisecond, false},
	} {
		require.Equal(t, test.admitted, plan.Admits(end.Add(-test.left), test.timeout), "%+v", test)
	}
	require.True(t, (*StopPlan)(nil).Admits(0, time.Hour), "no planned stop")
}

// Guards against a request that waits until a planned stop has no time for it and is
// passed on nevertheless.
func TestQueuedRequestIsNotPassedOnLateInAStop(t *testing.T) {
	var plan atomic.Pointer[StopPlan]
	var ran atomic.Bool
	h := newHarness(t, func(*fasthttp.RequestCtx) { ran.Store(true) }, func(c *Config) { c.StopPlan = plan.Load })
	now := h.clock.Now().Instant
	ample := &StopPlan{End: now.Add(10 * time.Second), Reserve: 10 * time.Second}
	short := &StopPlan{End: now.Add(time.Second), Reserve: 10 * time.Second}

	plan.Store(short)
	requireProblem(t, h.send(t, "POST", "/orders", idempotencyHeader, ""), problem.KindDraining, problem.OutcomeNotRun)
	require.Zero(t, h.limiter.spent.Load())

	plan.Store(ample)
	h.limiter.onAdmit = func() { plan.Store(short) }
	requireProblem(t, h.send(t, "POST", "/orders", idempotencyHeader, ""), problem.KindDraining, problem.OutcomeNotRun)
	require.Equal(t, h.limiter.spent.Load(), h.limiter.refunded.Load())
	require.Equal(t, []string{"release"}, h.claimer.endings())
	require.False(t, ran.Load())

	requireRun := func(headers string) {
		require.Equal(t, fasthttp.StatusOK, h.send(t, "POST", "/orders", headers, "").StatusCode())
	}
	h.limiter.onAdmit = nil
	requireRun("X-Request-Timeout: 900\r\n" + idempotencyHeader)
	plan.Store(ample)
	requireRun("Idempotency-Key: k2\r\n")
	require.Zero(t, h.Drain(context.Background()))
}
