package host

import (
	"context"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/membership"
)

// drainPollInterval is the time between two looks at the running requests.
const drainPollInterval = 20 * time.Millisecond

// DrainTimeoutError reports a planned stop that did not finish in time.
type DrainTimeoutError struct {
	Timeout time.Duration
	Active  int
}

func (e *DrainTimeoutError) Error() string {
	return "planned stop did not finish within " + e.Timeout.String()
}

// waitForEnd returns when the incarnation must stop.
func (h *Host) waitForEnd(stop, drain context.Context) error {
	select {
	case <-stop.Done():
		return nil
	case <-h.retired:
		return &RetiredError{Member: h.self}
	case <-drain.Done():
	}
	return h.drain(stop)
}

// drain leaves the cell: the roster says leaving, so look-up answers of all
// hosts leave this one out, callers that cached an answer are served for its
// lifetime, and weight and partitions are handed over. Then new requests are
// refused and running ones finish.
func (h *Host) drain(stop context.Context) error {
	h.state.drainSince.Store(int64(h.clock.Now().Instant))
	h.log.Info().Msg("planned stop begins")
	h.record(h.clock.Now(), machine.Event{Kind: "drain.begin", Text: "planned stop begins"})
	timeout := time.NewTimer(h.settings.Drain.Timeout)
	defer timeout.Stop()
	if !h.loop.Post(h.modules.membership, membership.Leave{}) {
		h.log.Error().Msg("control loop did not take the leave request")
	}
	// Requests go on until every cached answer has lapsed; the membership needs
	// the store, or its peers, to hand over, which may take longer.
	cached := time.NewTimer(h.settings.Lookup.MaxAge)
	defer cached.Stop()
	select {
	case <-cached.C:
	case <-stop.Done():
		return nil
	}
	select {
	case <-h.left:
	case <-h.retired:
	case <-stop.Done():
		return nil
	case <-timeout.C:
		return &DrainTimeoutError{Timeout: h.settings.Drain.Timeout, Active: h.active.running()}
	}
	return h.finishRequests(stop, timeout)
}

// finishRequests refuses new requests and waits for the running ones.
func (h *Host) finishRequests(stop context.Context, timeout *time.Timer) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	h.state.draining.Store(true)
	for h.active.running() > 0 {
		select {
		case <-ticker.C:
		case <-stop.Done():
			return nil
		case <-timeout.C:
			return &DrainTimeoutError{Timeout: h.settings.Drain.Timeout, Active: h.active.running()}
		}
	}
	h.finishReports(stop, ticker)
	h.record(h.clock.Now(), machine.Event{Kind: "drain.end", Text: "all running requests are finished"})
	return nil
}

// reportTimeout bounds the wait for owners that do not confirm the end of an
// operation. An owner that died may be replaced only after two leases, and the
// planned stop does not wait for that.
const reportTimeout = 5 * time.Second

// finishReports waits until the owners of ended operations have confirmed the
// ends. An id whose end is lost with this host is answered "unknown" later.
func (h *Host) finishReports(stop context.Context, ticker *time.Ticker) {
	timeout := time.NewTimer(reportTimeout)
	defer timeout.Stop()
	for h.state.pendingReports.Load() > 0 {
		select {
		case <-ticker.C:
		case <-stop.Done():
			return
		case <-timeout.C:
			h.log.Warn().Int64("operations", h.state.pendingReports.Load()).Msg("owners did not confirm the end of operations")
			return
		}
	}
}

// shutdownTimeout bounds the closing of the listeners after the drain.
const shutdownTimeout = 2 * time.Second

// shutdown closes the servers. After a drain no request is running, so only
// idle connections are left.
func (h *Host) shutdown(stop context.Context) {
	h.state.draining.Store(true)
	ctx, cancel := context.WithTimeout(stop, shutdownTimeout)
	defer cancel()
	if err := h.gateway.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("closing the callers' listener")
	}
	if err := h.operators.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("closing the operators' listener")
	}
	h.closeListeners()
}
