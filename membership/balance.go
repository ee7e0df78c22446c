package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// claimRetention is how long claims of operations are kept (section 5 of the
// design page).
const claimRetention = 24 * time.Hour

// balance divides weight and partitions evenly between the active members. It
// hands out only what no other incarnation may still use. It reports whether
// it changed the roster, whose Generation is already that of the update.
func (r *roster) balance(wallMillis int64) bool {
	weights := r.balanceWeights()
	partitions := r.balancePartitions(wallMillis)
	return weights || partitions
}

// targets returns the weight that each entry should have in the end.
func (r *roster) targets() []uint32 {
	targets := make([]uint32, len(r.Entries))
	active := 0
	for i := range r.Entries {
		if r.Entries[i].State == stateActive {
			active++
		}
	}
	seen := 0
	for i := range r.Entries {
		e := &r.Entries[i]
		switch e.State {
		case stateActive:
			targets[i] = uint32(fleet.TotalWeight*(seen+1)/active - fleet.TotalWeight*seen/active)
			seen++
		case stateJoining:
		default:
			// A leaving member serves callers with cached answers and a retiring
			// one may do so; both give their weight back when they are fenced.
			targets[i] = e.Weight
		}
		if e.Fenced {
			targets[i] = 0
		}
	}
	return targets
}

func (r *roster) balanceWeights() bool {
	changed := false
	free := uint32(fleet.TotalWeight)
	targets := r.targets()
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Weight > targets[i] {
			e.Weight = targets[i]
			e.Changed = r.Generation
			changed = true
		}
		if e.Fenced && e.Bound > 0 {
			e.Bound = 0
			changed = true
		}
		free -= e.Bound
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		// Raising Weight up to Bound needs no free weight.
		grant := min(targets[i], e.Bound+free)
		if grant <= e.Weight {
			continue
		}
		e.Weight = grant
		if grant > e.Bound {
			free -= grant - e.Bound
			e.Bound = grant
		}
		e.Changed = r.Generation
		changed = true
	}
	return changed
}

// settle gives back what an incarnation has confirmed not to use any more.
func (r *roster) settle(confirmed func(fleet.Incarnation) uint64, wallMillis int64) bool {
	changed := false
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Bound > e.Weight && confirmed(e.Incarnation) >= e.Changed {
			e.Bound = e.Weight
			changed = true
		}
	}
	for i := range r.Partitions {
		p := &r.Partitions[i]
		if !p.Next.IsZero() && confirmed(p.Owner) >= p.Changed {
			r.moveTo(p, p.Next, wallMillis)
			changed = true
		}
	}
	return changed
}

// moveTo makes an incarnation the owner of a partition that nobody acts on.
func (r *roster) moveTo(p *partition, owner fleet.Incarnation, wallMillis int64) {
	// The next owner does not know more than the last one did, so the mark stays
	// for as long as claims are kept.
	p.Uncommitted = p.Uncommitted && wallMillis-p.TakenOver < claimRetention.Milliseconds()
	if previous := r.find(p.Owner); previous != nil {
		p.Previous = previous.member()
		p.Uncommitted = p.Uncommitted || previous.Uncommitted
	}
	p.Owner = owner
	p.Next = fleet.Incarnation{}
	p.Epoch++
	p.TakenOver = wallMillis
	p.Changed = r.Generation
}

// balancePartitions gives every partition to an active member, evenly and with
// as few moves as possible.
func (r *roster) balancePartitions(wallMillis int64) bool {
	s := r.partitionShares()
	if s.active == 0 {
		return false
	}
	changed := false
	for i := range r.Partitions {
		p := &r.Partitions[i]
		owner := r.find(p.Owner)
		unowned := owner == nil || owner.Fenced
		holder := p.Owner
		if !p.Next.IsZero() {
			holder = p.Next
		}
		if !unowned && owner.State == stateRetiring {
			continue
		}
		if !s.surplus(holder) && !(unowned && p.Next.IsZero()) {
			if unowned {
				r.moveTo(p, holder, wallMillis)
				changed = true
			}
			continue
		}
		to, ok := s.receiver()
		if !ok {
			continue
		}
		s.move(holder, to)
		changed = true
		if unowned {
			r.moveTo(p, to, wallMillis)
			continue
		}
		// If to is the owner, it may have given up the partition already: it gets
		// it back with a new epoch once it has confirmed that.
		p.Next = to
		p.Changed = r.Generation
	}
	return changed
}

// shares counts the partitions of each active member.
type shares struct {
	order  []fleet.Incarnation
	counts map[fleet.Incarnation]int
	active int
	// floor is the number that every active member gets, extra the number of
	// members that get one more.
	floor, extra int
	// above is the number of members with more than floor partitions.
	above int
}

func (r *roster) partitionShares() *shares {
	s := &shares{counts: map[fleet.Incarnation]int{}}
	for i := range r.Entries {
		if r.Entries[i].State == stateActive {
			s.order = append(s.order, r.Entries[i].Incarnation)
			s.counts[r.Entries[i].Incarnation] = 0
		}
	}
	s.active = len(s.order)
	total := 0
	for i := range r.Partitions {
		p := &r.Partitions[i]
		owner := r.find(p.Owner)
		if owner != nil && owner.State == stateRetiring && !owner.Fenced {
			continue
		}
		total++
		holder := p.Owner
		if !p.Next.IsZero() {
			holder = p.Next
		}
		if _, active := s.counts[holder]; active {
			s.counts[holder]++
		}
	}
	if s.active > 0 {
		s.floor, s.extra = total/s.active, total%s.active
	}
	for _, count := range s.counts {
		if count > s.floor {
			s.above++
		}
	}
	return s
}

// surplus reports whether a holder must give up a partition.
func (s *shares) surplus(holder fleet.Incarnation) bool {
	count, active := s.counts[holder]
	if !active {
		return true
	}
	if count <= s.floor {
		return false
	}
	return count > s.floor+1 || s.above > s.extra
}

// receiver returns the active member with the fewest partitions, if it may
// take one more.
func (s *shares) receiver() (fleet.Incarnation, bool) {
	best := s.order[0]
	for _, i := range s.order {
		if s.counts[i] < s.counts[best] {
			best = i
		}
	}
	return best, s.counts[best] <= s.floor
}

func (s *shares) move(from, to fleet.Incarnation) {
	if _, active := s.counts[from]; active {
		s.add(from, -1)
	}
	s.add(to, 1)
}

func (s *shares) add(i fleet.Incarnation, n int) {
	if s.counts[i] > s.floor {
		s.above--
	}
	s.counts[i] += n
	if s.counts[i] > s.floor {
		s.above++
	}
}
