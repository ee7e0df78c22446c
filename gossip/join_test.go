package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// contactTime is the time after its start from which a process must not name hosts that
// left for good.
const contactTime = 4 * time.Second

// remove ends every third host for good. Their entries stay in the list.
func (r *testFleet) remove() (removed map[fleet.HostID]bool) {
	removed = map[fleet.HostID]bool{}
	for i, h := range r.hosts {
		if i%3 == 1 {
			r.down[h.ID] = true
			removed[h.ID] = true
		}
	}
	return removed
}

func (r *testFleet) named(by fleet.HostID) map[fleet.HostID]bool {
	named := map[fleet.HostID]bool{}
	for _, p := range r.peers[by] {
		if p.Alive {
			named[p.ID] = true
		}
	}
	return named
}

// Guards against a process that starts in a running fleet and names hosts that left
// long ago, because their entries are still in the list.
func TestRestartedHostNamesNoHostThatLeftLongAgo(t *testing.T) {
	t.Parallel()
	for _, n := range []int{4, 12, 100} {
		r := newTestFleet(n, 0.03)
		r.joins = true
		r.run(5 * time.Second)
		removed := r.remove()
		r.run(10 * time.Second)
		for _, restarted := range r.hosts {
			if removed[restarted.ID] || restarted.ID > "h-010" {
				continue
			}
			r.start(restarted)
			for range 30 {
				r.run(100 * time.Millisecond)
				require.GreaterOrEqual(t, r.aliveCount(restarted.ID), n-len(removed), "live hosts must not be left out")
			}
			r.run(contactTime - 3*time.Second)
			for id := range r.named(restarted.ID) {
				require.False(t, removed[id], "%s of %d names %s", restarted.ID, n, id)
			}
			require.Len(t, r.named(restarted.ID), n-len(removed))
		}
	}
}

// Guards against hosts that are left out, and hosts that left and are named again, when
// all processes start again within a second.
func TestHostsThatRestartTogetherNameEachOther(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100} {
		for seed := range uint64(2) {
			r := newTestFleet(n, 0.03)
			r.random = rand.New(rand.NewPCG(seed, 3))
			r.run(5 * time.Second)
			removed := r.remove()
			r.run(10 * time.Second)
			r.joins = true
			started := map[fleet.HostID]machine.Instant{}
			for _, h := range r.hosts {
				if !removed[h.ID] {
					r.down[h.ID] = true
					started[h.ID] = r.now.Add(time.Duration(r.random.Int64N(int64(time.Second))))
				}
			}
			for end := r.now.Add(8 * time.Second); r.now < end; r.run(50 * time.Millisecond) {
				for _, h := range r.hosts {
					if !removed[h.ID] && r.down[h.ID] && r.now >= started[h.ID] {
						r.start(h)
					}
				}
				for id, at := range started {
					if r.down[id] {
						continue
					}
					named := r.named(id)
					for other := range started {
						require.True(t, named[other], "%s leaves out %s", id, other)
					}
					require.True(t, r.now < at.Add(contactTime) || len(named) == n-len(removed), "%s names %v", id, named)
				}
			}
		}
	}
}

// Guards against a fleet that starts for the first time and whose hosts name few others
// until they have received a message from them.
func TestStartingFleetNamesAllHostsWhileGossipForms(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 1)
	for range 50 {
		r.run(100 * time.Millisecond)
		for _, h := range r.hosts {
			require.Equal(t, 12, r.aliveCount(h.ID))
		}
	}
}

// Guards against a host that is cut off from all others, starts again and names nobody,
// or only hosts that left.
func TestRestartedHostThatIsCutOffNamesItself(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0)
	r.run(5 * time.Second)
	r.remove()
	r.run(10 * time.Second)
	r.joins, r.loss = true, 1
	r.start(r.hosts[0])
	r.run(contactTime)
	require.Equal(t, map[fleet.HostID]bool{"h-000": true}, r.named("h-000"))
	r.loss = 0
	r.run(3 * time.Second)
	require.Equal(t, 8, r.aliveCount("h-000"))
}

// Guards against a report of a host that ended some seconds ago making a process that
// has just started name it for as long as one that was just seen.
func TestReportOfADeadHostDoesNotRenewIt(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0)
	r.run(10 * time.Second)
	dead := r.hosts[1].ID
	r.down[dead] = true
	r.run(4 * time.Second)
	r.joins = true
	r.start(r.hosts[0])
	r.run(3 * time.Second)
	require.Equal(t, 11, r.aliveCount("h-000"))
}

// Guards against a host that is added to a running fleet and names only itself until
// the others have its entry.
func TestAddedHostLearnsOfTheFleetBeforeItIsListed(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0.03)
	r.run(5 * time.Second)
	removed := r.remove()
	r.run(10 * time.Second)
	added := catalog.Host{ID: "h-new", Location: fleet.Location{Region: "a"}}
	r.joins = true
	r.start(added)
	r.hosts = append(r.hosts, added)
	r.step(added.ID, SetHosts{Hosts: r.hosts})
	for range 50 {
		r.run(100 * time.Millisecond)
		require.GreaterOrEqual(t, r.aliveCount(added.ID), 9)
	}
	for id := range r.named(added.ID) {
		require.False(t, removed[id], id)
	}
}

// Guards against notices of changes that reach few hosts at once because most of them
// go to hosts that left for good.
func TestNoticesReachLiveHostsAmongManyThatLeft(t *testing.T) {
	t.Parallel()
	const n, remaining = 200, 30
	r := newTestFleet(n, 0)
	r.run(5 * time.Second)
	for _, h := range r.hosts[remaining:] {
		r.down[h.ID] = true
	}
	r.run(10 * time.Second)
	for i, h := range r.hosts[:remaining] {
		revision := uint64(100 + i)
		r.step(h.ID, RevisionsObserved{Revisions: []uint64{revision}})
		for _, other := range r.hosts[:remaining] {
			require.Equal(t, []uint64{revision}, r.revisions[other.ID], "%s is not notified by %s", other.ID, h.ID)
		}
	}
}

// Guards against the directory naming a host that registered and ended before this host
// read the list with its entry, which may be many seconds later.
func TestAddedHostThatHasEndedIsNeverNamed(t *testing.T) {
	t.Parallel()
	for _, n := range []int{4, 12, 100} {
		r := newTestFleet(n, 0.03)
		r.run(10 * time.Second)
		ended := catalog.Host{ID: "h-ended", Location: fleet.Location{Region: "a"}}
		all := append(r.hosts[:len(r.hosts):len(r.hosts)], ended)
		for _, h := range r.hosts {
			r.step(h.ID, SetHosts{Hosts: all})
		}
		for range 70 {
			for _, h := range r.hosts {
				require.False(t, r.named(h.ID)[ended.ID], "%s of %d", h.ID, n)
			}
			r.run(100 * time.Millisecond)
		}
	}
}

// Guards against a live host that is added and left out of lookup responses for long.
func TestAddedLiveHostIsNamedSoon(t *testing.T) {
	t.Parallel()
	for n, within := range map[int]time.Duration{4: time.Second, 12: time.Second, 100: contactTime, 300: contactTime} {
		r := newTestFleet(n, 0.03)
		r.joins = true
		r.run(10 * time.Second)
		added := catalog.Host{ID: "h-added", Location: fleet.Location{Region: "a"}}
		before := r.hosts
		r.hosts = append(r.hosts[:n:n], added)
		r.start(added)
		listed := map[fleet.HostID]machine.Instant{}
		for _, h := range before {
			listed[h.ID] = r.now.Add(time.Duration(r.random.Int64N(int64(4 * time.Second))))
		}
		for end := r.now.Add(8 * time.Second); r.now < end; r.run(50 * time.Millisecond) {
			for _, h := range before {
				if at, waits := listed[h.ID]; waits && r.now >= at {
					r.step(h.ID, SetHosts{Hosts: r.hosts})
					delete(listed, h.ID)
					listed["named by "+h.ID] = r.now.Add(within)
				}
				if at, due := listed["named by "+h.ID]; due && r.now >= at {
					require.True(t, r.named(h.ID)[added.ID], "%s of %d does not name it %v after it was listed", h.ID, n, within)
				}
			}
		}
	}
}

// Guards against a host that was paused, takes what arrived meanwhile for recent, and lets
// the others name a host again that ended long ago.
func TestPausedHostDoesNotReviveAHostThatEnded(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		r := newTestFleet(12, 0)
		r.run(10 * time.Second)
		ended, paused := r.hosts[1].ID, r.hosts[2].ID
		// What the paused host receives once it runs again.
		var waiting []machine.Received
		for i, h := range r.hosts {
			if h.ID != ended && h.ID != paused {
				waiting = append(waiting, machine.Received{From: r.machines[h.ID].self, Message: r.machines[r.hosts[i].ID].digest(r.now)})
			}
		}
		r.down[ended], r.down[paused] = true, true
		endedAt := r.now
		r.run(pause)
		r.down[paused] = false
		for _, in := range waiting {
			r.step(paused, in)
		}
		r.run(endedAt.Add(contactTime + 3*time.Second).Sub(r.now))
		for range 30 {
			for _, h := range r.hosts {
				require.True(t, r.down[h.ID] || !r.named(h.ID)[ended], "%s names it %v after its end, pause %v", h.ID, r.now.Sub(endedAt), pause)
			}
			r.run(100 * time.Millisecond)
		}
	}
}
