package edge

import (
	"sync/atomic"

	"github.com/catkinspring/catkinspring/loadreport"
	"github.com/catkinspring/catkinspring/machine"
)

// pauses detects that this process did not run for loadreport.MinPause or more. It is safe for
// concurrent use, but tick must be called by one goroutine.
type pauses struct {
	// lastTick is the instant of the last tick, resumedAt that of the first one after the last
	// pause.
	lastTick, resumedAt atomic.Int64
}

// tick records a tick of the control loop.
func (p *pauses) tick(now machine.Instant) {
	if last := p.lastTick.Load(); last != 0 && now.Sub(machine.Instant(last)) >= loadreport.MinPause {
		// This comes before the tick is recorded, so that overlaps sees one of the two.
		p.resumedAt.Store(int64(now))
	}
	p.lastTick.Store(int64(now))
}

// overlaps reports whether this process was paused between two instants, of which the second one is the
// present. After a pause, it may be called before the first tick.
func (p *pauses) overlaps(began, now machine.Instant) bool {
	if last := p.lastTick.Load(); last != 0 && now.Sub(machine.Instant(last)) >= loadreport.MinPause {
		return true
	}
	resumed := p.resumedAt.Load()
	return resumed != 0 && began <= machine.Instant(resumed)
}
