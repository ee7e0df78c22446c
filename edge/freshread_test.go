package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

// modelRole is the decision of one host on its role.
type modelRole struct {
	h       *modelHost
	machine *freshness.Machine
	state   freshness.State
	// listAtOnceUntil is documented at Edge.
	listAtOnceUntil machine.Instant
	// listedAsReader is true once a list that the role requested has completed.
	listedAsReader bool
}

func newModelRole(h *modelHost) *modelRole {
	return &modelRole{h: h, machine: freshness.New(freshness.Config{Self: h.member, Joins: h.fleet.joins})}
}

func (r *modelRole) step(in machine.Input) {
	now := r.h.fleet.now
	for _, out := range r.machine.Step(machine.Now{Instant: now}, in) {
		switch out := out.(type) {
		case machine.Send:
			r.h.send(out)
		case freshness.State:
			if out.Reads && !r.state.Reads {
				r.listedAsReader = false
				r.h.list()
			}
			if out.ReaderKnown && !r.state.ReaderKnown {
				r.listAtOnceUntil = now.Add(listAtOnceTime)
			}
			r.state = out
			r.h.learn(out.Revisions)
		}
	}
}

func (r *modelRole) peers(peers []gossip.Peer) { r.step(freshness.SetPeers{Peers: peers}) }

func (r *modelRole) reads() bool { return r.state.Reads }

func (r *modelRole) listed() { r.listedAsReader = r.state.Reads }

func (r *modelRole) upToDate() bool {
	return r.state.Reads && r.listedAsReader && r.h.fleet.now < r.h.watchEnds.Add(overdueSlack)
}

// listDelay is that of the kind with the longest delay.
func (r *modelRole) listDelay() time.Duration {
	return listDelay(kindUpstreams, !r.state.ReaderKnown || r.h.fleet.now < r.listAtOnceUntil)
}

func (h *modelHost) tick() {
	h.stepGossip(machine.Tick{})
	h.role.step(freshness.SetCopy{UpToDate: h.role.upToDate(), Reachable: !h.cut, Revisions: h.revisions()})
	h.role.step(machine.Tick{})
}

func (h *modelHost) receive(in machine.Received) {
	if _, ok := in.Message.(freshness.Heartbeat); ok {
		h.role.step(in)
		return
	}
	h.stepGossip(in)
}

// changeBound is the time within which a change must be in force on hosts in touch.
const changeBound = 2500 * time.Millisecond

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
	"killed one after the other": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].kill() })
		f.at(3*time.Second, func() { f.hosts[4].kill() })
		f.at(4500*time.Millisecond, func() { f.hosts[1].kill() })
	},
	"lists disagree": func(f *modelFleet) {
		f.at(0, func() {
			f.hosts[1].listWithout(f.hosts[0], f.hosts[4])
			f.hosts[4].listWithout(f.hosts[0])
			f.hosts[0].listWithout(f.hosts[4])
		})
		f.at(3*time.Second, func() { f.hosts[0].stop() })
	},
	"messages are lost": func(f *modelFleet) {
		f.loss = 0.03
		f.at(0, func() { f.hosts[0].stop(); f.hosts[4].stop() })
		f.at(3*time.Second, func() { f.hosts[0].start(); f.hosts[4].start() })
	},
	"cut off from the store": func(f *modelFleet) {
		f.at(0, func() { f.hosts[0].setCut(true); f.hosts[4].setCut(true) })
		f.at(6*time.Second, func() { f.hosts[0].setCut(false); f.hosts[4].setCut(false) })
	},
}

// Guards against a configuration that is in force late because the hosts that read the
// latest state restarted, died, were cut off or disagreed.
func TestChangeIsInForceInTimeWhileFreshReadersFail(t *testing.T) {
	t.Parallel()
	for name, disturb := range freshScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, burst := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second} {
				for after := -2 * time.Second; after < 12*time.Second; after += 250 * time.Millisecond {
					f := newModelFleet(12, uint64(after.Milliseconds()), modelStart.Add(after))
					// The readers pause when the change comes.
					f.burst, f.offset = burst, (f.changeAt.Sub(0)-2*modelStep)%max(burst, 1)
					disturb(f)
					f.run(f.changeAt.Add(changeBound), func() {})
					for _, h := range f.hosts {
						if !h.touched {
							require.True(t, h.changed(), "host %s, change acknowledged %v after the first event, other changes each %v", h.entry.ID, after, burst)
						}
					}
				}
			}
		})
	}
}

// Guards against planned restarts in which for a moment no host reads the latest state.
func TestPlannedRestartsNeverLeaveTheFleetWithoutFreshReader(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"restarted in turn", "all restarted in turn but three", "lists disagree"} {
		for seed := range uint64(4) {
			f := newModelFleet(12, seed, 0)
			freshScenarios[name](f)
			f.run(modelStart.Add(14*time.Second), func() {
				if f.now >= modelStart {
					require.NotZero(t, f.upToDate(), "%s, seed %d, %v after the first event", name, seed, f.now.Sub(modelStart))
				}
			})
		}
	}
}

// upToDate returns the number of running hosts that read the latest state.
func (f *modelFleet) upToDate() int {
	n := 0
	for _, h := range f.hosts {
		if h.up && !h.cut && h.role.upToDate() {
			n++
		}
	}
	return n
}

// Guards against store calls that grow with the fleet, on quiet days and after the loss
// of all fresh readers.
func TestNumberOfFreshReadersIsIndependentOfTheFleet(t *testing.T) {
	t.Parallel()
	const span = 10 * time.Second
	quiet := int(span/catalog.ShortWatchTimeout+1) * freshness.Readers
	for _, n := range []int{12, 64} {
		f := newModelFleet(n, 1, 0)
		f.run(modelStart.Add(span), func() {})
		require.LessOrEqual(t, f.calls, quiet, "fleet of %d on a quiet day", n)

		f = newModelFleet(n, 1, 0)
		killReaders(f)
		f.run(modelStart.Add(span), func() {})
		require.LessOrEqual(t, f.calls, 2*quiet, "fleet of %d whose readers were killed", n)

		f = newModelFleet(n, 1, 0)
		f.at(0, func() { f.slow = 700 * time.Millisecond })
		f.run(modelStart.Add(span), func() {})
		require.LessOrEqual(t, f.calls, 2*quiet, "fleet of %d whose store is slow", n)
	}
}

// killReaders kills all hosts that read the latest state.
func killReaders(f *modelFleet) {
	f.at(0, func() {
		for _, h := range f.hosts {
			if h.role.reads() {
				h.kill()
			}
		}
	})
}
