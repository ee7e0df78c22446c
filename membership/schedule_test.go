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

// playSchedule keeps splitting the cell in two at random, with and without the
// store on each side, while hosts pause, restart, leave and join. Slow changes
// of the set of voters across a split are what the matrix does not reach.
func playSchedule(s *cellScenario) {
	r := s.rig
	initial := 3 + r.Rand.IntN(3)
	for _, id := range s.hosts[:initial] {
		s.start(id)
	}
	for _, id := range s.hosts[initial:] {
		s.lost[id] = true
	}
	r.Run(4 * lease)
	for range scheduleRounds {
		s.disturb()
		r.Run(time.Duration(r.Rand.Int64N(int64(2 * lease))))
	}
	r.Heal()
	for _, id := range s.hosts {
		r.Store.CutHost(id, false)
		if s.lost[id] {
			s.revive(id)
		}
	}
	for _, p := range s.all {
		p.node.Resume()
	}
	s.listHosts()
	s.settle(4 * settleTime)
}

// revive starts a host that is down.
func (s *cellScenario) revive(id fleet.HostID) {
	delete(s.lost, id)
	if old := s.running[id]; old != nil {
		old.node.Kill()
	}
	s.start(id)
}

// disturb applies one random fault.
func (s *cellScenario) disturb() {
	r := s.rig
	id := s.hosts[r.Rand.IntN(len(s.hosts))]
	p := s.running[id]
	switch k := r.Rand.IntN(12); {
	case k < 4:
		s.splitRandomly()
	case k < 5:
		r.Heal()
	case k < 6:
		for _, id := range s.hosts {
			r.Store.CutHost(id, false)
		}
	case s.lost[id]:
		s.revive(id)
	case k < 8:
		s.pause(id, time.Duration(r.Rand.Int64N(int64(3*lease))))
	case k < 9 && p.node.Running():
		r.Inject(p.node, Leave{})
	case k < 10:
		s.replace(id)
	case k < 11:
		s.lost[id] = true
		p.node.Kill()
	}
}

// splitRandomly divides the hosts into two sides; one of them, or none, keeps
// the store.
func (s *cellScenario) splitRandomly() {
	r := s.rig
	r.Heal()
	side := map[fleet.HostID]bool{}
	store := r.Rand.IntN(3)
	for _, id := range s.hosts {
		side[id] = r.Rand.IntN(2) == 0
		r.Store.CutHost(id, store == 2 || side[id] == (store == 0))
	}
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if side[a] != side[b] {
				r.Cut(a, b)
			}
		}
	}
}

// TestRandomSchedules guards against two holders of the same weight or
// partition after long sequences of splits and changes of the set of voters.
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
		s.play = playSchedule
		s.Run()
		return s.Check()
	})
	for i, violations := range results {
		assert.Empty(t, violations, "seed %d", seeds[i])
	}
}
