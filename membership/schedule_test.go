package membership

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
)

// scheduleCount is the number of random schedules; SCHEDULES overrides it.
const scheduleCount = 40

// scheduleRounds is the number of fault rounds of a schedule.
const scheduleRounds = 24

// runRandomSchedule repeatedly splits the cell in two at random, with and without
// the store on each side, while hosts pause, restart, leave and join. It covers
// slow changes of the set of voters across a split, which the matrix does not.
func runRandomSchedule(s *cellScenario) {
	r := s.rig
	initial := 3 + r.Rand.IntN(3)
	for _, id := range s.hosts[:initial] {
		s.start(id)
	}
	for _, id := range s.hosts[initial:] {
		s.killed[id] = true
	}
	r.Run(4 * lease)
	for range scheduleRounds {
		s.injectRandomFault()
		r.Run(time.Duration(r.Rand.Int64N(int64(2 * lease))))
	}
	r.Heal()
	for _, id := range s.hosts {
		r.Store.SetHostCut(id, false)
		if s.killed[id] {
			s.restart(id)
		}
	}
	for _, p := range s.all {
		p.node.Resume()
	}
	s.startPlatformLists()
	s.settle(4 * settleTime)
}

// restart starts a new incarnation of a host that is down.
func (s *cellScenario) restart(id fleet.HostID) {
	delete(s.killed, id)
	if old := s.running[id]; old != nil {
		old.node.Kill()
	}
	s.start(id)
}

// injectRandomFault applies one random fault or repair.
func (s *cellScenario) injectRandomFault() {
	r := s.rig
	id := s.hosts[r.Rand.IntN(len(s.hosts))]
	p := s.running[id]
	switch choice := r.Rand.IntN(12); {
	case choice < 4:
		s.splitNetwork()
	case choice < 5:
		r.Heal()
	case choice < 6:
		for _, id := range s.hosts {
			r.Store.SetHostCut(id, false)
		}
	case s.killed[id]:
		s.restart(id)
	case choice < 8:
		s.pause(id, time.Duration(r.Rand.Int64N(int64(3*lease))))
	case choice < 9 && p.node.Running():
		r.Inject(p.node, Leave{})
	case choice < 10:
		s.replace(id)
	case choice < 11:
		s.killed[id] = true
		p.node.Kill()
	}
}

// splitNetwork divides the hosts into two sides at random. At most one of them
// keeps the store.
func (s *cellScenario) splitNetwork() {
	r := s.rig
	r.Heal()
	side := map[fleet.HostID]bool{}
	storeSide := r.Rand.IntN(3)
	for _, id := range s.hosts {
		side[id] = r.Rand.IntN(2) == 0
		r.Store.SetHostCut(id, storeSide == 2 || side[id] == (storeSide == 0))
	}
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if side[a] != side[b] {
				r.Cut(a, b)
			}
		}
	}
}

// TestRandomSchedules guards against two holders of the same weight or partition
// after long sequences of splits and changes of the set of voters.
func TestRandomSchedules(t *testing.T) {
	count := scheduleCount
	if text := os.Getenv("SCHEDULES"); text != "" {
		parsed, err := strconv.Atoi(text)
		require.NoError(t, err)
		count = parsed
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = uint64(i) + 1
	}
	results := iter.Map(seeds, func(seed *uint64) []string {
		s := newCell(*seed, 7, buildMembership)
		s.script = runRandomSchedule
		s.Run()
		return s.Check()
	})
	for i, violations := range results {
		assert.Empty(t, violations, "seed %d", seeds[i])
	}
}
