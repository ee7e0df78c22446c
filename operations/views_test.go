package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	viewInterval = 100 * time.Millisecond
	viewDelay    = 6 * time.Millisecond
	// viewMargin is what a retirement waits beyond the last lease that a host got.
	viewMargin = 130 * time.Millisecond
)

// viewService stands in for membership, which takes most of the time of a run.
// It follows the same rules: a lease needs a majority or the store; an owner
// changes only when its lease is over or when it applies the view in which it
// has given the partition up; the roster changes only with the store.
type viewService struct {
	c          *cell
	version    uint64
	members    []*viewMember
	partitions [fleet.Partitions]viewPartition
	cuts       map[[2]fleet.HostID]bool
	storeDown  bool
	storeCut   map[fleet.HostID]bool
}

type viewMember struct {
	p           *process
	leaving     bool
	leavingAt   machine.Instant
	until       machine.Instant
	uncommitted bool
	declared    bool
}

type viewPartition struct {
	fleet.Partition
	moving  *viewMember
	changed uint64
}

func newViewService(c *cell) *viewService {
	s := &viewService{c: c, cuts: map[[2]fleet.HostID]bool{}, storeCut: map[fleet.HostID]bool{}}
	c.rig.After(viewInterval, s.tick)
	return s
}

func (s *viewService) find(member fleet.Member) *viewMember {
	for _, m := range s.members {
		if m.p.node.Member == member {
			return m
		}
	}
	return nil
}

func (s *viewService) storeReach(p *process) bool {
	return !s.storeDown && !s.storeCut[p.node.Member.Host]
}

func (s *viewService) quorumReach(p *process) bool {
	host := p.node.Member.Host
	n := 0
	for _, m := range s.members {
		// As in membership, a newer incarnation answers in place of a host's older one.
		other := m.p.node.Member.Host
		if m.p == p || s.c.running[other].node.Running() && !s.cuts[[2]fleet.HostID{host, other}] && !s.cuts[[2]fleet.HostID{other, host}] {
			n++
		}
	}
	return n > len(s.members)/2 || len(s.members) == 0
}

func (s *viewService) reach(p *process) bool {
	return p.node.Running() && (s.quorumReach(p) || s.storeReach(p))
}

// writer reports whether some host, also one that joins, can change the roster.
func (s *viewService) writer() bool {
	for _, id := range s.c.hosts {
		if p := s.c.running[id]; p.node.Running() && s.storeReach(p) && s.quorumReach(p) {
			return true
		}
	}
	return false
}

func (s *viewService) tick() {
	s.c.rig.After(viewInterval, s.tick)
	s.renew()
	if s.writer() {
		s.join()
		s.retire()
		s.move()
	}
	s.publish()
}

func (s *viewService) renew() {
	for _, m := range s.members {
		if s.reach(m.p) {
			m.until = s.c.rig.Now().Add(testLease)
			m.p.until = m.p.node.Time().Instant.Add(testLease)
			s.c.rig.Inject(m.p.node, machine.LeaseChanged{ValidUntil: m.p.until})
		}
	}
}

// join adds new incarnations, and stops those that were retired.
func (s *viewService) join() {
	for _, id := range s.c.hosts {
		p := s.c.running[id]
		if p == nil || !s.reach(p) || s.find(p.node.Member) != nil || p.left {
			continue
		}
		if p.joined {
			p.retired = true
			s.c.replace(id)
			continue
		}
		p.joined = true
		s.members = append(s.members, &viewMember{p: p, until: s.c.rig.Now()})
		s.version++
	}
}

// retire removes hosts whose last lease is over.
func (s *viewService) retire() {
	for i := len(s.members) - 1; i >= 0; i-- {
		m := s.members[i]
		if s.c.rig.Now().Sub(m.until) <= viewMargin || m.p.node.Running() && s.reach(m.p) {
			continue
		}
		s.drop(m)
	}
}

// drop removes a host that holds no lease.
func (s *viewService) drop(m *viewMember) {
	s.c.died = true
	for k := range s.members {
		if s.members[k] == m {
			s.members = append(s.members[:k], s.members[k+1:]...)
			break
		}
	}
	s.version++
	for i := range s.partitions {
		if s.partitions[i].moving == m {
			s.partitions[i].moving = nil
		}
		if s.partitions[i].Owner == m.p.node.Member {
			if to := s.receiver(s.counts()); to != nil {
				s.give(i, to, m.uncommitted)
			}
		}
	}
}

func (s *viewService) give(i int, to *viewMember, uncommitted bool) {
	v := &s.partitions[i]
	v.Previous = v.Owner
	v.PreviousUncommitted = v.PreviousUncommitted || uncommitted
	v.Owner = to.p.node.Member
	v.Epoch++
	v.TakenOverMillis = to.p.node.Time().WallMillis
	v.moving = nil
}

// holder returns who holds a partition or gets it.
func (s *viewService) holder(i int) fleet.Member {
	if s.partitions[i].moving != nil {
		return s.partitions[i].moving.p.node.Member
	}
	return s.partitions[i].Owner
}

func (s *viewService) counts() map[fleet.Member]int {
	counts := map[fleet.Member]int{}
	for i := range s.partitions {
		counts[s.holder(i)]++
	}
	return counts
}

func (s *viewService) active() int {
	n := 0
	for _, m := range s.members {
		if !m.leaving {
			n++
		}
	}
	return n
}

// receiver returns the host with the fewest partitions.
func (s *viewService) receiver(counts map[fleet.Member]int) *viewMember {
	var best *viewMember
	for _, m := range s.members {
		if !m.leaving && (best == nil || counts[m.p.node.Member] < counts[best.p.node.Member]) {
			best = m
		}
	}
	return best
}

// move gives away what a live owner has too much of, in two steps.
func (s *viewService) move() {
	counts := s.counts()
	full := 0
	if n := s.active(); n > 0 {
		full = (fleet.Partitions + n - 1) / n
	}
	for i := range s.partitions {
		v := &s.partitions[i]
		owner := s.find(v.Owner)
		to := s.receiver(counts)
		before := s.holder(i)
		switch {
		case to == nil:
			return
		case owner == nil:
			s.version++
			s.give(i, to, false)
		case v.moving != nil:
			if owner.p.version >= v.changed {
				s.version++
				s.give(i, v.moving, owner.uncommitted)
			}
		case owner.leaving || counts[v.Owner] > full && counts[to.p.node.Member]+1 < counts[v.Owner]:
			s.version++
			v.moving = to
			v.changed = s.version
		}
		counts[before]--
		counts[s.holder(i)]++
	}
	for _, m := range s.members {
		if m.leaving && !s.ownsAny(m) && s.drained(m) {
			m.p.left = true
			s.c.gone[m.p.node.Member.Host] = true
			s.c.rig.After(2*time.Second, m.p.node.Kill)
			s.drop(m)
			return
		}
	}
}

// drained reports whether a leaving host may exit. One that can't report its
// endings in time counts as lost.
func (s *viewService) drained(m *viewMember) bool {
	if machine, ok := m.p.operations.(*Machine); ok && machine.Pending() > 0 {
		if s.c.rig.Now().Sub(m.leavingAt) < 2*testLease {
			return false
		}
		m.p.retired = true
	}
	return true
}

// ownsAny reports whether a host owns a partition, also one that moves away.
func (s *viewService) ownsAny(m *viewMember) bool {
	for i := range s.partitions {
		if s.partitions[i].Owner == m.p.node.Member {
			return true
		}
	}
	return false
}

// publish sends the view to the hosts that have an older one.
func (s *viewService) publish() {
	var members []fleet.ViewMember
	for _, m := range s.members {
		state := fleet.StateActive
		if m.leaving {
			state = fleet.StateLeaving
		}
		members = append(members, fleet.ViewMember{Member: m.p.node.Member, State: state, Reachable: true})
	}
	for _, m := range s.members {
		if m.p.version >= s.version || !s.reach(m.p) {
			continue
		}
		v := &fleet.View{Version: s.version, Self: m.p.node.Member, Members: members}
		for i := range s.partitions {
			v.Partitions[i] = s.partitions[i].Partition
			if s.partitions[i].moving != nil {
				v.Partitions[i].Owner = fleet.Member{}
			}
		}
		s.c.rig.After(viewDelay, func() { s.c.rig.Inject(m.p.node, machine.ViewChanged{View: v}) })
	}
}

// declare acknowledges the announcement of uncommitted claims once a majority
// hears it.
func (s *viewService) declare(p *process, since machine.Instant) {
	m := s.find(p.node.Member)
	if m == nil {
		return
	}
	m.declared = true
	s.acknowledge(m, since)
}

func (s *viewService) acknowledge(m *viewMember, since machine.Instant) {
	if !m.declared || m.p.node.Killed() {
		return
	}
	if !m.p.node.Running() || !s.quorumReach(m.p) {
		s.c.rig.After(viewInterval, func() { s.acknowledge(m, since) })
		return
	}
	m.uncommitted = true
	s.c.rig.After(2*viewDelay, func() { s.c.rig.Inject(m.p.node, UncommittedAcknowledged{Since: since}) })
}

func (s *viewService) clear(p *process) {
	if m := s.find(p.node.Member); m != nil {
		m.declared = false
		m.uncommitted = false
	}
}
