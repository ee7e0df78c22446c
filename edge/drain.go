package edge

import (
	"context"
	"time"

	"github.com/catkinspring/catkinspring/gossip"
)

const (
	// acceptAfterStop is how long a stopping host goes on accepting connections:
	// callers may use an answer that names it for answerAge.
	acceptAfterStop = answerAge + 200*time.Millisecond
	// stopMargin is what is left of the grace when the process ends.
	stopMargin = 400 * time.Millisecond
)

// drain carries out a planned stop: the host is not named and not ready any more,
// ends connections after their responses, stops accepting, and waits for the
// requests in progress.
func (e *Edge) drain() {
	started := time.Now()
	e.draining.Store(true)
	e.log.Info().Int("connections", e.server.Connections()).Msg("planned stop begins")
	e.loop.Post(e.modules.gossip, gossip.SetSelf{Leaving: true})
	e.server.Drain()
	time.Sleep(min(acceptAfterStop, e.Settings.Bounds.StopGrace/2))
	_ = e.listeners.callers.Close()
	left := e.Settings.Bounds.StopGrace - stopMargin - time.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, left))
	defer cancel()
	e.server.Wait(ctx)
	e.log.Info().Int("connections", e.server.Connections()).Dur("took", time.Since(started)).Msg("planned stop ends")
}
