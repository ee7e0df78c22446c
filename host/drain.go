package host

import (
	"context"
	"errors"
	"time"

	"github.com/catkinspring/catkinspring/gateway"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/membership"
)

// confirmationPollInterval is how often a drain polls the number of ended operations
// that are not confirmed.
const confirmationPollInterval = 20 * time.Millisecond

// DrainTimeoutError reports a graceful shutdown that did not finish in time.
type DrainTimeoutError struct {
	Timeout time.Duration
	// Active is the number of requests without a whole response.
	Active int
}

func (e *DrainTimeoutError) Error() string {
	return "planned stop did not finish within " + e.Timeout.String()
}

// waitForEnd blocks until the incarnation must stop or has been drained.
func (h *Host) waitForEnd(stop, drain context.Context) error {
	select {
	case <-stop.Done():
		h.finishRequests(stop, forcedAnswerTime)
		return nil
	case <-h.retired:
		h.finishRetired(stop)
		return &RetiredError{Member: h.self}
	case <-drain.Done():
	}
	return h.drain(stop)
}

// retiredTimeout bounds the time in which a retired incarnation finishes its requests.
// The process serves again only after it.
const retiredTimeout = 5 * time.Second

// finishRetired answers the requests of a retired incarnation. Its lease has ended, but
// the upstreams that run them do not depend on it.
func (h *Host) finishRetired(stop context.Context) {
	run := min(retiredTimeout, h.settings.Drain.Timeout-h.finalAnswerTime())
	h.state.stopPlan.Store(&gateway.StopPlan{End: h.clock.Now().Instant.Add(run), Reserve: run / 2})
	bound, cancel := context.WithTimeout(stop, run)
	defer cancel()
	h.finishRequests(bound, h.finalAnswerTime())
}

// drain performs a graceful shutdown, which messages to operators call a planned
// stop: it leaves the cell and finishes the running requests. The roster marks this
// host as leaving, so no host returns it in lookup answers any more. Callers with
// a cached answer are served until it expires, and weight and partitions are
// handed over. Then new requests are refused and running ones finish. Requests that
// would probably outlast the stop are refused from its beginning.
func (h *Host) drain(stop context.Context) error {
	now := h.clock.Now()
	h.state.drainSince.Store(int64(now.Instant))
	run := h.settings.Drain.Timeout - h.finalAnswerTime()
	h.state.stopPlan.Store(&gateway.StopPlan{End: now.Instant.Add(run), Reserve: h.settings.Drain.Timeout / 2})
	counts := h.gateway.StopCounts()
	h.log.Info().Int("connections", counts.Connections).Int("requests", counts.Requests).
		Dur("timeout", h.settings.Drain.Timeout).Msg("planned stop begins")
	h.record(now, machine.Event{Kind: "drain.begin", Text: "planned stop begins"})
	bound, cancel := context.WithTimeout(stop, run)
	defer cancel()
	if !h.loop.Post(h.modules.membership, membership.Leave{}) {
		h.log.Error().Msg("control loop did not take the leave request")
	}
	defer h.logStopEnd(now.Instant)
	left := h.waitForHandover(bound)
	unanswered := h.finishRequests(bound, h.finalAnswerTime())
	switch {
	case stop.Err() != nil:
		return nil
	case !left || unanswered > 0:
		return &DrainTimeoutError{Timeout: h.settings.Drain.Timeout, Active: unanswered}
	}
	h.waitForConfirmations(bound)
	h.record(h.clock.Now(), machine.Event{Kind: "drain.end", Text: "all running requests are finished"})
	return nil
}

// maxFinalAnswerTime bounds the part of a planned stop in which the requests that
// still run are ended with a final answer.
const maxFinalAnswerTime = time.Second

// forcedAnswerTime is the time for final answers when a second signal stops the host
// at once.
const forcedAnswerTime = 250 * time.Millisecond

// finalAnswerTime returns the part of the planned stop that is left for final answers.
func (h *Host) finalAnswerTime() time.Duration {
	return min(maxFinalAnswerTime, h.settings.Drain.Timeout/4)
}

// logStopEnd logs what became of the requests of a stopping host.
func (h *Host) logStopEnd(began machine.Instant) {
	counts := h.gateway.StopCounts()
	h.log.Info().Int("connections", counts.Connections).Int("cut", counts.Requests).
		Int64("refused", counts.Refused).Int64("passed_on_late", counts.LateRequests).
		Int64("ended", counts.Ended).Int64("lines_omitted", counts.LinesOmitted).
		Dur("took", h.clock.Now().Instant.Sub(began)).Msg("planned stop ends")
}

// finishRequests refuses new requests and waits for the running ones until the bound.
// It ends the others with a final answer, for which it waits for answerTime more. It
// returns the number of requests that had no response at the bound.
func (h *Host) finishRequests(bound context.Context, answerTime time.Duration) int {
	h.state.draining.Store(true)
	unanswered := h.gateway.Drain(bound)
	if unanswered == 0 {
		return 0
	}
	if errors.Is(bound.Err(), context.Canceled) {
		answerTime = forcedAnswerTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	h.gateway.Abort(ctx)
	return unanswered
}

// waitForHandover accepts requests until every cached lookup answer has expired and
// the host has left its cell. The handover needs the store or the peers and may take
// longer. It returns false if the context ended first.
func (h *Host) waitForHandover(ctx context.Context) bool {
	cached := time.NewTimer(h.settings.Lookup.MaxAge)
	defer cached.Stop()
	select {
	case <-cached.C:
	case <-ctx.Done():
		return false
	}
	select {
	case <-h.left:
	case <-h.retired:
	case <-ctx.Done():
		return false
	}
	return true
}

// confirmationTimeout bounds the wait for owners to confirm the end of operations. A
// dead owner may be replaced only after two lease durations, which is too long
// for a graceful shutdown.
const confirmationTimeout = 5 * time.Second

// waitForConfirmations waits until the owners of ended operations have confirmed the
// ends. If an end is lost with this host, later requests with that operation ID
// are answered "unknown".
func (h *Host) waitForConfirmations(bound context.Context) {
	ctx, cancel := context.WithTimeout(bound, confirmationTimeout)
	defer cancel()
	ticker := time.NewTicker(confirmationPollInterval)
	defer ticker.Stop()
	for h.state.pendingConfirmations.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			h.log.Warn().Int64("operations", h.state.pendingConfirmations.Load()).Msg("owners did not confirm the end of operations")
			return
		}
	}
}

// shutdownTimeout bounds the time to close the listeners after a drain.
const shutdownTimeout = 2 * time.Second

// shutdown closes the servers. After a drain no request is running, so only idle
// connections are left.
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
