package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	viewInterval = 100 * time.Millisecond
	viewDelay    = 6 * time.Millisecond
	// viewMargin is the time from the end of a host's last lease to its retirement.
	viewMargin = 130 * time.Millisecond
)

// viewService replaces membership, which would take most of the time of a run. It
// follows the same rules: a lease needs a majority or the store; an owner changes
// only when its lease has expired or when it has applied a view in which it no
// longer owns the partition; the roster changes only with the store.
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
	leaseUntil  machine.Instant
	uncommitted bool
	declared    bool
}

type viewPartition struct {
	fleet.Partition
	movingTo       *viewMember
	changedVersion uint64
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

func (s *viewService) reachesStore(p *process) bool {
	return !s.storeDown && !s.storeCut[p.node.Member.Host]
}

func (s *viewService) reachesQuorum(p *process) bool {
	host := p.node.Member.Host
	n := 0
	for _, m := range s.members {
		// As in membership, a host's newer incarnation answers for its older one.
		other := m.p.node.Member.Host
		if m.p == p || s.c.running[other].node.Running() && !s.cuts[[2]fleet.HostID{host, other}] && !s.cuts[[2]fleet.HostID{other, host}] {
			n++
		}
	}
	return n > len(s.members)/2 || len(s.members) == 0
}

func (s *viewService) canRenewLease(p *process) bool {
	return p.node.Running() && (s.reachesQuorum(p) || s.reachesStore(p))
}

// canChangeRoster reports whether a host, possibly a joining one, can change the roster.
func (s *viewService) canChangeRoster() bool {
	for _, id := range s.c.hosts {
		if p := s.c.running[id]; p.node.Running() && s.reachesStore(p) && s.reachesQuorum(p) {
			return true
		}
	}
	return false
}

func (s *viewService) tick() {
	s.c.rig.After(viewInterval, s.tick)
	s.renew()
	if s.canChangeRoster() {
		s.join()
		s.retire()
		s.rebalance()
	}
	s.publish()
}

func (s *viewService) renew() {
	for _, m := range s.members {
		if s.canRenewLease(m.p) {
			m.leaseUntil = s.c.rig.Now().Add(testLease)
			m.p.leaseUntil = m.p.node.Time().Instant.Add(testLease)
			s.c.rig.Inject(m.p.node, machine.LeaseChanged{ValidUntil: m.p.leaseUntil})
		}
	}
}

// join adds new incarnations and replaces those that were retired.
func (s *viewService) join() {
	for _, id := range s.c.hosts {
		p := s.c.running[id]
		if p == nil || !s.canRenewLease(p) || s.find(p.node.Member) != nil || p.left {
			continue
		}
		if p.joined {
			p.retired = true
			s.c.replace(id)
			continue
		}
		p.joined = true
		s.members = append(s.members, &viewMember{p: p, leaseUntil: s.c.rig.Now()})
		s.version++
	}
}

// retire removes hosts whose last lease has expired.
func (s *viewService) retire() {
	for i := len(s.members) - 1; i >= 0; i-- {
		m := s.members[i]
		if s.c.rig.Now().Sub(m.leaseUntil) <= viewMargin || m.p.node.Running() && s.canRenewLease(m.p) {
			continue
		}
		s.remove(m)
	}
}

// remove removes a host without a lease and transfers its partitions.
func (s *viewService) remove(m *viewMember) {
	s.c.hostLost = true
	for k := range s.members {
		if s.members[k] == m {
			s.members = append(s.members[:k], s.members[k+1:]...)
			break
		}
	}
	s.version++
	for i := range s.partitions {
		if s.partitions[i].movingTo == m {
			s.partitions[i].movingTo = nil
		}
		if s.partitions[i].Owner == m.p.node.Member {
			if to := s.leastLoaded(s.counts()); to != nil {
				s.transfer(i, to, m.uncommitted)
			}
		}
	}
}

func (s *viewService) transfer(i int, to *viewMember, uncommitted bool) {
	v := &s.partitions[i]
	v.Previous = v.Owner
	v.PreviousUncommitted = v.PreviousUncommitted || uncommitted
	v.Owner = to.p.node.Member
	v.Epoch++
	v.TakenOverMillis = to.p.node.Time().WallMillis
	v.movingTo = nil
}

// nextOwner returns the host that a partition is moving to, otherwise its owner.
func (s *viewService) nextOwner(i int) fleet.Member {
	if s.partitions[i].movingTo != nil {
		return s.partitions[i].movingTo.p.node.Member
	}
	return s.partitions[i].Owner
}

func (s *viewService) counts() map[fleet.Member]int {
	counts := map[fleet.Member]int{}
	for i := range s.partitions {
		counts[s.nextOwner(i)]++
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

// leastLoaded returns the host with the fewest partitions that is not leaving.
func (s *viewService) leastLoaded(counts map[fleet.Member]int) *viewMember {
	var best *viewMember
	for _, m := range s.members {
		if !m.leaving && (best == nil || counts[m.p.node.Member] < counts[best.p.node.Member]) {
			best = m
		}
	}
	return best
}

// rebalance moves partitions from overloaded or leaving owners, in two steps.
func (s *viewService) rebalance() {
	counts := s.counts()
	fairShare := 0
	if n := s.active(); n > 0 {
		fairShare = (fleet.Partitions + n - 1) / n
	}
	for i := range s.partitions {
		v := &s.partitions[i]
		owner := s.find(v.Owner)
		to := s.leastLoaded(counts)
		before := s.nextOwner(i)
		switch {
		case to == nil:
			return
		case owner == nil:
			s.version++
			s.transfer(i, to, false)
		case v.movingTo != nil:
			if owner.p.version >= v.changedVersion {
				s.version++
				s.transfer(i, v.movingTo, owner.uncommitted)
			}
		case owner.leaving || counts[v.Owner] > fairShare && counts[to.p.node.Member]+1 < counts[v.Owner]:
			s.version++
			v.movingTo = to
			v.changedVersion = s.version
		}
		counts[before]--
		counts[s.nextOwner(i)]++
	}
	for _, m := range s.members {
		if m.leaving && !s.ownsAny(m) && s.drained(m) {
			m.p.left = true
			s.c.gone[m.p.node.Member.Host] = true
			s.c.rig.After(2*time.Second, m.p.node.Kill)
			s.remove(m)
			return
		}
	}
}

// drained reports whether a leaving host may exit. A host that can't report its
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

// ownsAny reports whether a host owns a partition, including one that is moving.
func (s *viewService) ownsAny(m *viewMember) bool {
	for i := range s.partitions {
		if s.partitions[i].Owner == m.p.node.Member {
			return true
		}
	}
	return false
}

// publish sends the view to the reachable hosts that have an older one.
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
		if m.p.version >= s.version || !s.canRenewLease(m.p) {
			continue
		}
		v := &fleet.View{Version: s.version, Self: m.p.node.Member, Members: members}
		for i := range s.partitions {
			v.Partitions[i] = s.partitions[i].Partition
			if s.partitions[i].movingTo != nil {
				v.Partitions[i].Owner = fleet.Member{}
			}
		}
		s.c.rig.After(viewDelay, func() { s.c.rig.Inject(m.p.node, machine.ViewChanged{View: v}) })
	}
}

// declare acknowledges the announcement of uncommitted mode once a majority is
// reachable.
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
	if !m.p.node.Running() || !s.reachesQuorum(m.p) {
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
