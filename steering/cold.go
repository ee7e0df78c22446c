package steering

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// coldGate bounds this host's requests to a cold upstream. The hosts that may
// warm an upstream are chosen by hash, so that the sum holds without messages.
type coldGate struct {
	until  machine.Instant
	tokens float64
	at     machine.Instant
}

// start begins or extends the cold time. A gate starts without tokens.
func (g *coldGate) start(now machine.Instant, d time.Duration) {
	if until := now.Add(d); until > g.until {
		if g.until < now {
			g.tokens, g.at = 0, now
		}
		g.until = until
	}
}

func (g *coldGate) closed(now machine.Instant) bool { return now < g.until }

// maxWarmers bounds the hosts that warm one upstream. With two, one is there when
// the other has no callers; more would each get too small a part of the rate.
const maxWarmers = 2

// warmers returns the number of hosts that warm one upstream. Their parts add up
// to the warm-up rate, and their single stored tokens to at most half of the slack,
// which leaves room for hosts that disagree on who they are.
func (t *Table) warmers() int {
	return max(1, min(maxWarmers, int(t.config.ColdSlack/2)))
}

// admit spends a token of a cold upstream. Invariant: over all hosts at most
// warmers + rate requests are admitted in one second.
func (t *Table) admit(now machine.Instant, m *member) bool {
	if !m.cold.closed(now) {
		return true
	}
	rate := t.warmup[m.Service].Rate
	if rate <= 0 || !t.warms(m) {
		return false
	}
	g := &m.cold
	g.tokens = math.Min(1, g.tokens+now.Sub(g.at).Seconds()*rate/float64(t.warmers()))
	g.at = now
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// warms reports whether this host is one of those that warm an upstream: the
// first ones by hash in the upstream's region, or of all if it has none.
func (t *Table) warms(m *member) bool {
	own := t.config.Location.Region == m.Location.Region
	local := false
	for _, h := range t.hosts {
		local = local || h.Location.Region == m.Location.Region
	}
	if local && !own {
		return false
	}
	mine := hash2(string(t.config.Host), string(m.ID))
	before := 0
	for _, h := range t.hosts {
		if local && h.Location.Region != m.Location.Region || h.ID == t.config.Host {
			continue
		}
		if hash2(string(h.ID), string(m.ID)) > mine {
			before++
		}
	}
	return before < t.warmers()
}

// HostsIn returns the number of hosts in each region.
func HostCountByRegion(hosts []catalog.Host) map[fleet.Region]int {
	count := make(map[fleet.Region]int)
	for _, h := range hosts {
		count[h.Location.Region]++
	}
	return count
}
