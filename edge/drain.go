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
	// stopMargin is the part of the grace period that is left for the exit.
	stopMargin = 400 * time.Millisecond
)

// plannedStop is the state of a planned stop.
type plannedStop struct {
	began time.Time
	grace time.Duration
	// read counts the requests that were read after the stop began, sentLate the attempts
	// that were sent after half of the grace period.
	read, sentLate atomic.Int64
}

// isLate reports whether more than half of the grace period has passed.
func (s *plannedStop) isLate(now time.Time) bool { return now.Sub(s.began) > s.grace/2 }

func (e *Edge) isStopping() bool { return e.stop.Load() != nil }

// drain performs a planned stop: it removes the host from lookup responses, reports
// it as not ready, closes connections after their responses, stops accepting, and
// waits for requests in flight.
func (e *Edge) drain() {
	stop := &plannedStop{began: time.Now(), grace: e.Settings.Bounds.StopGrace}
	e.stop.Store(stop)
	open := len(e.server.OpenRequests())
	e.log.Info().Int("connections", e.server.Connections()).Int("requests", open).Msg("planned stop begins")
	e.loop.Post(e.modules.gossip, gossip.SetSelf{Leaving: true})
	e.server.Drain()
	time.Sleep(min(acceptAfterStop, stop.grace/2))
	if err := e.server.StopAccepting(e.listeners.callers.(*net.TCPListener)); err != nil {
		e.log.Warn().Err(err).Msg("closing the callers' listener")
	}
	remaining := stop.grace - stopMargin - time.Since(stop.began)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, remaining))
	defer cancel()
	e.server.Wait(ctx)
	cut := e.server.OpenRequests()
	for _, r := range cut {
		e.logUnanswered(r, &StopEndedError{})
	}
	e.log.Info().Int("connections", e.server.Connections()).Int64("read", stop.read.Load()).Int64("sent_late", stop.sentLate.Load()).
		Int("cut", len(cut)).Dur("took", time.Since(stop.began)).Msg("planned stop ends")
}

// StopEndedError reports a request that a planned stop ended.
type StopEndedError struct{}

func (*StopEndedError) Error() string { return "the planned stop ended first" }

// logUnanswered counts and logs a request whose connection ends without its response.
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
	line.Msg("request ends without a response")
}
