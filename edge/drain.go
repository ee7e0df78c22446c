package edge

import (
	"context"
	"net"
	"time"

	"github.com/catkinspring/catkinspring/gossip"
)

const (
	// acceptAfterStop is how long a stopping host continues to accept connections:
	// callers may use a cached lookup response with its address for lookupMaxAge.
	acceptAfterStop = lookupMaxAge + 200*time.Millisecond
	// stopMargin is the part of the grace period that is left for the exit.
	stopMargin = 400 * time.Millisecond
)

// drain performs a planned stop: it removes the host from lookup responses, reports
// it as not ready, closes connections after their responses, stops accepting, and
// waits for requests in flight.
func (e *Edge) drain() {
	started := time.Now()
	e.draining.Store(true)
	e.log.Info().Int("connections", e.server.Connections()).Msg("planned stop begins")
	e.loop.Post(e.modules.gossip, gossip.SetSelf{Leaving: true})
	e.server.Drain()
	time.Sleep(min(acceptAfterStop, e.Settings.Bounds.StopGrace/2))
	if err := e.server.StopAccepting(e.listeners.callers.(*net.TCPListener)); err != nil {
		e.log.Warn().Err(err).Msg("closing the callers' listener")
	}
	remaining := e.Settings.Bounds.StopGrace - stopMargin - time.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, remaining))
	defer cancel()
	e.server.Wait(ctx)
	e.log.Info().Int("connections", e.server.Connections()).Dur("took", time.Since(started)).Msg("planned stop ends")
}
