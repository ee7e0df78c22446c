package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/problem"
)

const (
	// sweepInterval is how often a stopping gateway looks for idle connections.
	sweepInterval = 20 * time.Millisecond
	// readGrace is how long a draining gateway waits for the rest of a request. The
	// request is refused in any case, so that it can only delay the stop.
	readGrace = 2 * time.Second
)

// OpenConnectionsError reports connections that had to be closed while they were in
// use, because the time for a shutdown was over.
type OpenConnectionsError struct {
	Connections int
}

func (e *OpenConnectionsError) Error() string {
	return fmt.Sprintf("%d connections were in use at the end of the shutdown", e.Connections)
}

// StopCounts describes the requests of a planned stop.
type StopCounts struct {
	// Connections and Requests are open now; a request is open from its first byte
	// until its whole response was written.
	Connections, Requests int
	// Refused requests were refused because the host stops, LateRequests passed on
	// after the stop had begun.
	Refused, LateRequests int64
	// Ended requests got a final answer at the end of the stop instead of a response.
	Ended int64
	// LinesOmitted counts log lines on requests beyond their bound.
	LinesOmitted int64
}

// stopCounters holds the counters behind StopCounts. lines counts the log lines on
// requests of a planned stop.
type stopCounters struct {
	refused, late, ended, lines atomic.Int64
}

// StopCounts returns the counts of the planned stop.
func (g *Gateway) StopCounts() StopCounts {
	counts := StopCounts{
		Refused: g.stop.refused.Load(), LateRequests: g.stop.late.Load(), Ended: g.stop.ended.Load(),
		LinesOmitted: max(0, g.stop.lines.Load()-maxStopLines),
	}
	counts.Connections, counts.Requests = g.connections.counts()
	return counts
}

// Drain accepts no further connections, closes idle ones and waits until every request
// that was received has its whole response, or the context ends. It returns the number
// of the other requests. Config.Draining must be true, so that new requests on open
// connections are refused.
func (g *Gateway) Drain(ctx context.Context) int {
	if err := g.stopAccepting(); err != nil {
		g.Logger.Warn().Err(err).Msg("ending the callers' listener")
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	grace := time.NewTimer(readGrace)
	defer grace.Stop()
	graceOver := false
	for {
		requests := g.connections.sweep()
		if requests == 0 {
			return 0
		}
		if graceOver {
			g.connections.interruptReads()
		}
		select {
		case <-ticker.C:
		case <-grace.C:
			graceOver = true
		case <-ctx.Done():
			return requests
		}
	}
}

// Abort ends the requests that Drain left, so that their callers get a final answer,
// and waits for the answers until the context ends. It returns the number of requests
// that still have no whole response, and logs them.
func (g *Gateway) Abort(ctx context.Context) int {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		g.connections.abort()
		requests := g.connections.sweep()
		if requests == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			for _, c := range g.connections.list() {
				if request := c.call.Load(); request != nil {
					g.logStopped(request, "response cut by the planned stop")
				}
			}
			return requests
		}
	}
}

// cancelOnAbort lets abort cancel the exchange of a request. It returns false if the
// request was aborted already.
func (c *call) cancelOnAbort(cancel context.CancelFunc) bool {
	c.cancel.Store(&cancel)
	return !c.aborted.Load()
}

// abort ends a request that is waiting or is run by an upstream.
func (c *call) abort() {
	c.aborted.Store(true)
	if cancel := c.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// endedByStop returns the error to report for a failed request. If the request was
// aborted, that is the planned stop, whatever the cancelled module reported.
func (c *call) endedByStop(err error) error {
	if !c.aborted.Load() {
		return err
	}
	c.g.stop.ended.Add(1)
	c.g.logStopped(c, "request ended by the planned stop")
	if outcomeOf(err) == problem.OutcomeNotRun {
		return problem.NotRun(problem.KindDraining, "the entry host stopped before the request was passed on; use another one").WithCause(err)
	}
	return problem.New(problem.KindDeadlineExceeded, outcomeOf(err), "the entry host stopped before the upstream answered").WithCause(err)
}

// maxStopLines bounds the log lines on single requests of a planned stop.
const maxStopLines = 500

func (g *Gateway) logStopped(c *call, message string) {
	if g.stop.lines.Add(1) > maxStopLines {
		return
	}
	line := g.Logger.Warn().Str("request", c.id).Dur("age", time.Since(c.started))
	if r := c.dispatched.Load(); r != nil {
		line.Str("route", string(r.Route.Name)).Str("customer", string(r.Customer)).
			Bool("passed_on", r.Written()).Str("upstream", string(r.Upstream()))
	} else {
		line.Bool("passed_on", false)
	}
	line.Msg(message)
}

// Shutdown serves the connections that the kernel has accepted already, accepts no
// further ones, and closes each connection once it is idle. When the context ends, it
// closes the remaining ones and returns *OpenConnectionsError.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.stopAccepting(); err != nil {
		return err
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		g.connections.sweep()
		open := g.connections.list()
		if len(open) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			for _, c := range open {
				// The server closes the connection too, and may have done so already.
				_ = c.Conn.Close()
			}
			return &OpenConnectionsError{Connections: len(open)}
		}
	}
}

// listen registers the listener of Serve.
func (g *Gateway) listen(l *boundedListener) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	if g.stopping {
		return l.stopAccepting()
	}
	return nil
}

func (g *Gateway) stopAccepting() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return nil
	}
	g.stopping = true
	if g.listener == nil {
		return nil
	}
	return g.listener.stopAccepting()
}
