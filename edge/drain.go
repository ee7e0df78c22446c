package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/logsink"
)

const (
	// acceptAfterStop is how long a stopping host continues to accept connections:
	// callers may use a cached lookup response with its address for lookupMaxAge.
	acceptAfterStop = lookupMaxAge + 200*time.Millisecond
	// stopWorkPart is the part of the grace period after which a stop gives up open
	// requests, stopExitPart the part after which the process ends. Between them the last
	// responses are written.
	stopWorkPart = 0.90
	stopExitPart = 0.93
	// stoppingRetryAfter is the Retry-After of a request that a stopping host refuses.
	// Other hosts take it at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// earlyPart and earlyTime bound, as a part of the grace period and as a duration, the
	// time after the begin of a stop in which a request may be sent to an upstream that
	// may not answer before the stop ends.
	earlyPart = 0.5
	earlyTime = 3 * time.Second
	// maxServiceTimes is the service time of slow requests as a multiple of the average.
	maxServiceTimes = 4
)

// plannedStop is the state of a planned stop.
type plannedStop struct {
	began time.Time
	grace time.Duration
	// read counts the requests that were read after the stop began, sentLate the attempts
	// that were sent late, refused the requests that could not be answered in time.
	read, sentLate, refused atomic.Int64
}

// isLate reports whether the early part of the stop has passed.
func (s *plannedStop) isLate(now time.Time) bool {
	return now.After(s.at(earlyPart)) || now.Sub(s.began) > earlyTime
}

// workEnds returns when the stop gives up open requests.
func (s *plannedStop) workEnds() time.Time { return s.at(stopWorkPart) }

// at returns the time at which a part of the grace period has passed.
func (s *plannedStop) at(part float64) time.Time {
	return s.began.Add(time.Duration(part * float64(s.grace)))
}

// allowsAttempt reports whether a request may be sent to an upstream: either its
// deadline passes before the stop gives up, or it is early and the time left is enough
// for a slow request. serviceTime is the average time of an answer; 0 if unknown.
func (s *plannedStop) allowsAttempt(now, deadline time.Time, serviceTime time.Duration) bool {
	if !deadline.After(s.workEnds()) {
		return true
	}
	return !s.isLate(now) && serviceTime > 0 && s.workEnds().Sub(now) >= maxServiceTimes*serviceTime
}

func (e *Edge) isStopping() bool { return e.stop.Load() != nil }

// drain performs a planned stop that was requested at the given time: it removes the
// host from lookup responses, reports it as not ready, closes connections after their
// responses, stops accepting, and waits for open requests. It gives up those that remain
// near the end of the grace period.
func (e *Edge) drain(requested time.Time) {
	stop := &plannedStop{began: requested, grace: e.Settings.Bounds.StopGrace}
	e.stop.Store(stop)
	open := len(e.server.OpenRequests())
	e.log.Info().Int("connections", e.server.Connections()).Int("requests", open).Msg("planned stop begins")
	e.loop.Post(e.modules.gossip, gossip.SetSelf{Leaving: true})
	e.server.Drain()
	time.Sleep(time.Until(stop.began.Add(min(acceptAfterStop, stop.grace/2))))
	if err := e.server.StopAccepting(e.listeners.callers.(*net.TCPListener)); err != nil {
		e.log.Warn().Err(err).Msg("closing the callers' listener")
	}
	e.server.EndReuse()
	e.waitUntil(stop.workEnds())
	givenUp := e.server.OpenRequests()
	for _, r := range givenUp {
		e.logUnanswered(r, &StopEndedError{})
	}
	e.server.Abort(&StopEndedError{})
	e.waitUntil(stop.at(stopExitPart))
	unwritten := e.server.UnwrittenRequests()
	for _, r := range unwritten {
		e.logUnanswered(r, &ResponseCutError{})
	}
	e.logOmittedLines()
	e.log.Info().Int("connections", e.server.Connections()).Int64("read", stop.read.Load()).Int64("sent_late", stop.sentLate.Load()).
		Int64("refused", stop.refused.Load()).Int64("dropped_pipelined", e.server.DroppedPipelined()).Int("given_up", len(givenUp)).Int("cut", len(unwritten)).
		Dur("took", time.Since(stop.began)).Msg("planned stop ends")
}

// waitUntil waits until all connections of callers are closed, at most until the given
// time.
func (e *Edge) waitUntil(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.server.Wait(ctx)
}

// StopEndedError reports a request that a planned stop ended.
type StopEndedError struct{}

func (*StopEndedError) Error() string { return "the planned stop ended first" }

// ResponseCutError reports a request whose response was not written whole when the
// process ended.
type ResponseCutError struct{}

func (*ResponseCutError) Error() string { return "the process ends before the response is written" }

// logUnanswered counts and logs a request that ends without the response of its upstream,
// because its connection or a planned stop has ended.
func (e *Edge) logUnanswered(r *ingress.Request, cause error) {
	e.hostMetrics.count("requests.unanswered")
	if !e.logSink.Allow(logsink.Unanswered) {
		return
	}
	line := e.log.Warn().Str("request", e.Codec.CallerFields(r.Request).ID).AnErr("cause", cause).Dur("took", time.Since(r.Received)).
		Str("method", r.Method).Str("sent_to", string(r.SentTo()))
	if stop := e.stop.Load(); stop != nil {
		line = line.Dur("after_stop", time.Since(stop.began)).Dur("received_after_stop", r.Received.Sub(stop.began))
	}
	line.Msg("request given up")
}
