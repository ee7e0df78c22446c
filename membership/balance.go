package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// claimRetention is how long claims on operations are kept (section 5 of the
// design document).
const claimRetention = 24 * time.Hour

// balance divides weight and partitions evenly between the active members. It
// assigns only what no other incarnation may still use. The caller has already
// incremented Generation; balance reports whether it changed the roster.
func (r *roster) balance(wallMillis int64) bool {
	weights := r.balanceWeights()
	partitions := r.balancePartitions(wallMillis)
	return weights || partitions
}

// targets returns the weight that each entry should eventually have.
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
			// A leaving member still serves callers with cached answers, and a
			// retiring one may do so. Both keep their weight until they are fenced.
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

// releaseConfirmed releases the weight and the partitions that an incarnation
// has confirmed it no longer uses.
func (r *roster) releaseConfirmed(confirmed func(fleet.Incarnation) uint64, wallMillis int64) bool {
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
			r.setOwner(p, p.Next, wallMillis)
			changed = true
		}
	}
	return changed
}

// setOwner makes an incarnation the owner of a partition that nobody uses.
func (r *roster) setOwner(p *partition, owner fleet.Incarnation, wallMillis int64) {
	// The new owner knows no more claims than the previous one did, so
	// Uncommitted stays set for as long as claims are kept.
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

// balancePartitions assigns every partition to an active member, evenly and
// with as few moves as possible.
func (r *roster) balancePartitions(wallMillis int64) bool {
	s := r.countPartitions()
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
		if !s.hasSurplus(holder) && !(unowned && p.Next.IsZero()) {
			if unowned {
				r.setOwner(p, holder, wallMillis)
				changed = true
			}
			continue
		}
		newOwner, ok := s.receiver()
		if !ok {
			continue
		}
		s.move(holder, newOwner)
		changed = true
		if unowned {
			r.setOwner(p, newOwner, wallMillis)
			continue
		}
		// If newOwner is the current owner, it may already have released the
		// partition. It gets it back with a new epoch once it has confirmed that.
		p.Next = newOwner
		p.Changed = r.Generation
	}
	return changed
}

// partitionCounts counts the partitions of each active member.
type partitionCounts struct {
	order  []fleet.Incarnation
	counts map[fleet.Incarnation]int
	active int
	// floor is the number of partitions that every active member gets, extra the
	// number of members that get one more.
	floor, extra int
	// aboveFloor is the number of members with more than floor partitions.
	aboveFloor int
}

func (r *roster) countPartitions() *partitionCounts {
	s := &partitionCounts{counts: map[fleet.Incarnation]int{}}
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
			s.aboveFloor++
		}
	}
	return s
}

// hasSurplus reports whether a holder must give up a partition.
func (s *partitionCounts) hasSurplus(holder fleet.Incarnation) bool {
	count, active := s.counts[holder]
	if !active {
		return true
	}
	if count <= s.floor {
		return false
	}
	return count > s.floor+1 || s.aboveFloor > s.extra
}

// receiver returns the active member with the fewest partitions, if it may
// take one more.
func (s *partitionCounts) receiver() (fleet.Incarnation, bool) {
	best := s.order[0]
	for _, incarnation := range s.order {
		if s.counts[incarnation] < s.counts[best] {
			best = incarnation
		}
	}
	return best, s.counts[best] <= s.floor
}

func (s *partitionCounts) move(from, to fleet.Incarnation) {
	if _, active := s.counts[from]; active {
		s.add(from, -1)
	}
	s.add(to, 1)
}

func (s *partitionCounts) add(incarnation fleet.Incarnation, n int) {
	if s.counts[incarnation] > s.floor {
		s.aboveFloor--
	}
	s.counts[incarnation] += n
	if s.counts[incarnation] > s.floor {
		s.aboveFloor++
	}
}
