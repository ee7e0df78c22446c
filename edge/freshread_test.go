package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

// modelRole is the decision of one host on its role.
type modelRole struct {
	h     *modelHost
	fresh bool
}

func newModelRole(h *modelHost) modelRole { return modelRole{h: h} }

func (r *modelRole) peers(peers []gossip.Peer) {
	since := r.h.fleet.now.Sub(r.h.startedAt)
	fresh := since >= freshWatcherDelay && isFreshWatcher(r.h.entry.ID, peers)
	if fresh && !r.fresh {
		r.h.list()
	}
	r.fresh = fresh
}

func (r *modelRole) reads() bool { return r.fresh }

func (r *modelRole) listed() {}

func (r *modelRole) listDelay() time.Duration { return staleGrace + coalesceDelays[kindConfiguration] }

func (h *modelHost) tick() { h.stepGossip(machine.Tick{}) }

func (h *modelHost) receive(in machine.Received) { h.stepGossip(in) }

// configurationBound is the time within which a change must be in force on hosts in touch.
const configurationBound = 2500 * time.Millisecond

// freshScenarios disturb the hosts that read the latest state. In the fleet of 12, these
// are the hosts 0 and 4.
var freshScenarios = map[string]func(f *modelFleet){
	"restarted in turn": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].stop() })
		f.at(1300*time.Millisecond, func() { f.hosts[4].stop() })
		f.at(4*time.Second, func() { f.hosts[0].start(); f.hosts[4].start() })
	},
	"all restarted in turn but three": func(f *modelFleet) {
		for i := range f.hosts[:9] {
			after := time.Duration(i) * time.Second
			f.at(after, func() { f.hosts[i].stop() })
			f.at(after+2700*time.Millisecond, func() { f.hosts[i].start() })
		}
	},
	"killed together": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].kill(); f.hosts[4].kill() })
	},
	"killed together and started": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].kill(); f.hosts[4].kill() })
		f.at(700*time.Millisecond, func() { f.hosts[0].start(); f.hosts[4].start() })
	},
	"half of the fleet killed": func(f *modelFleet) {
		f.at(0, func() {
			for _, h := range f.hosts[:6] {
				h.kill()
			}
		})
	},
	"cut off from the store": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].setCut(true); f.hosts[4].setCut(true) })
		f.at(6*time.Second, func() { f.hosts[0].setCut(false); f.hosts[4].setCut(false) })
	},
}

// Guards against a configuration that is in force late because the hosts that read the
// latest state restarted, died or were cut off.
func TestChangeIsInForceInTimeWhileFreshReadersFail(t *testing.T) {
	for name, disturb := range freshScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for after := -time.Second; after < 14*time.Second; after += 100 * time.Millisecond {
				f := newModelFleet(12, uint64(after.Milliseconds()), modelStart.Add(after))
				disturb(f)
				f.run(f.changeAt.Add(configurationBound), func() {})
				for _, h := range f.hosts {
					if !h.touched {
						require.True(t, h.changed, "host %s, change acknowledged %v after the first event", h.entry.ID, after)
					}
				}
			}
		})
	}
}
