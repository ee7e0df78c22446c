package steering

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// refusalMemory is how long a service counts as short of room after one of its upstreams has
// refused a request: queues of upstreams become shorter in about the time of a request.
const refusalMemory = time.Second

// RefusedLately reports whether an upstream of a service has refused a request of this
// host within refusalMemory.
func (t *Table) RefusedLately(now machine.Instant, service fleet.Pool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	return p != nil && p.refusedAt != 0 && now.Sub(p.refusedAt) < refusalMemory
}

// GiveBack returns a choice for which no attempt is made. It is called instead of Done.
// Tokens of a shared rate are not returned: choices for Request.Second take none.
func (t *Table) GiveBack(c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[c.ID]
	if m == nil {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	p := t.services[m.Service]
	p.picks = max(0, p.picks-1)
	if entry := p.work.routes[c.route]; c.estimated && entry != nil {
		entry.local.picks = max(0, entry.local.picks-1)
	}
}
