package limits

import (
	"cmp"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Settled is an output: this host, and the borrowers of its loans, hold no more than a
// division by the hosts up to a registration gives them. It may be recorded then.
type Settled struct {
	// Era is that of the store in which the hosts' entries were read.
	Era        uint64
	Generation uint64
}

// MachineOutput marks Settled as an output.
func (Settled) MachineOutput() {}

// allotment bounds what each host may hold of a limit, from the hosts' records in the
// store: the order in which they joined, and the last division that each acts on.
//
// The list of hosts only grows at its end, and the part that a division gives to a host
// never grows with the list. So a host that recorded a division holds at most its part of
// that one, also while it is out of touch. A host holds nothing before its first record is
// in its copy of the store, which then has the records of all hosts that joined before it.
// It may hold its part as far as the limit exceeds the bounds of these. So the last to
// join of the hosts that hold anything leaves the sum within the limit.
//
// The part of a host that is gone stays in the division; the host that replaces it holds
// that part beside its own, by the same rules.
type allotment struct {
	// hosts are in the order of their registration, and byRegion the indexes of those in
	// each region.
	hosts    []allottedHost
	byRegion map[fleet.Region][]int
	// held are the parts that this host may hold.
	held []heldPart
	// generation is the registration of the last host.
	generation uint64
}

// heldPart is the part of a listed host, itself or one that is gone, that this host holds.
type heldPart struct {
	// host is the index of the host, and earlier those of the hosts that joined before it.
	host    int
	earlier []int
	// agreed is true if all earlier hosts recorded this division.
	agreed bool
}

// allottedHost is a host with the last division that it is known to act on.
type allottedHost struct {
	id     fleet.HostID
	region fleet.Region
	holder fleet.HostID
	// joined is the store revision of its first record; 0 if there is none.
	joined uint64
	// known is the number of hosts in that division, regions that of their regions and
	// inRegion that of the hosts in its own region.
	known, regions, inRegion int
}

// newAllotment returns the allotment for a view, or nil if this host is not registered.
func newAllotment(view *fleet.View) *allotment {
	var members []*fleet.ViewMember
	for i := range view.Members {
		if view.Members[i].Registered > 0 {
			members = append(members, &view.Members[i])
		}
	}
	slices.SortFunc(members, func(a, b *fleet.ViewMember) int { return cmp.Compare(a.Registered, b.Registered) })
	if !slices.ContainsFunc(members, func(m *fleet.ViewMember) bool { return m.Host == view.Self.Host }) {
		return nil
	}
	l := &allotment{generation: members[len(members)-1].Registered, byRegion: map[fleet.Region][]int{}}
	for i, m := range members {
		divided := max(m.ConfirmedGeneration, m.Registered)
		if m.Holder == view.Self.Host {
			divided = l.generation
		}
		h := allottedHost{id: m.Host, region: m.Region, holder: m.Holder, joined: m.Joined}
		regions := map[fleet.Region]int{}
		for h.known < len(members) && members[h.known].Registered <= divided {
			regions[members[h.known].Region]++
			h.known++
		}
		h.regions, h.inRegion = len(regions), regions[m.Region]
		l.hosts = append(l.hosts, h)
		l.byRegion[m.Region] = append(l.byRegion[m.Region], i)
	}
	for i := range l.hosts {
		if l.hosts[i].holder == view.Self.Host && l.hosts[i].joined > 0 {
			l.held = append(l.held, l.newHeldPart(i))
		}
	}
	return l
}

func (l *allotment) newHeldPart(host int) heldPart {
	p := heldPart{host: host, agreed: true}
	for i := range l.hosts {
		if h := &l.hosts[i]; h.joined > 0 && h.joined < l.hosts[host].joined {
			p.earlier = append(p.earlier, i)
			p.agreed = p.agreed && h.known == len(l.hosts)
		}
	}
	return p
}

// joined reports whether this host may hold any part.
func (l *allotment) joined() bool { return l != nil && len(l.held) > 0 }

// lost reports whether this host held a part before that it doesn't hold now.
func (l *allotment) lost(before *allotment) bool {
	if before == nil {
		return false
	}
	return slices.ContainsFunc(before.held, func(p heldPart) bool {
		return l == nil || !slices.ContainsFunc(l.held, func(q heldPart) bool { return l.hosts[q.host].id == before.hosts[p.host].id })
	})
}

// units returns what this host may hold of a customer's limit.
func (l *allotment) units(customer fleet.Customer, burst float64) int64 {
	if !l.joined() {
		return 0
	}
	scores := l.scores(customer)
	return l.sum(func(i int) int64 { return l.part(i, scores, burst) })
}

// scores returns the rendezvous hashes of all hosts for a customer.
func (l *allotment) scores(customer fleet.Customer) []uint64 {
	scores := make([]uint64, len(l.hosts))
	for i := range l.hosts {
		scores[i] = rendezvous(customer, l.hosts[i].id)
	}
	return scores
}

// weight returns what this host may hold of a limit that all hosts share.
func (l *allotment) weight() int64 {
	if !l.joined() {
		return 0
	}
	return l.sum(func(i int) int64 { return evenPart(l.hosts[i].regions, l.hosts[i].inRegion) })
}

// sum returns what this host may hold of a limit of which each host holds at most a part.
func (l *allotment) sum(part func(host int) int64) int64 {
	sum := int64(0)
	for _, p := range l.held {
		own := part(p.host)
		if own > 0 && !p.agreed {
			left := int64(fleet.TotalWeight)
			for _, i := range p.earlier {
				left -= part(i)
			}
			own = max(0, min(own, left))
		}
		sum += own
	}
	return sum
}

func evenPart(regions, hosts int) int64 { return fleet.TotalWeight / int64(regions*hosts) }

// part returns the most that a host holds of a limit, for which the hosts have scores.
func (l *allotment) part(i int, scores []uint64, burst float64) int64 {
	h := &l.hosts[i]
	holders := quotaHolders(h.regions, burst)
	if holders >= h.inRegion {
		return evenPart(h.regions, h.inRegion)
	}
	before := 0
	for _, k := range l.byRegion[h.region][:h.inRegion] {
		if scores[k] > scores[i] || scores[k] == scores[i] && l.hosts[k].id < h.id {
			if before++; before == holders {
				return 0
			}
		}
	}
	return evenPart(h.regions, holders)
}

// setAllotment applies the allotment of a new view to the generation that waits to be
// settled.
func (m *Machine) setAllotment(now machine.Instant) {
	m.allotted = newAllotment(m.view)
	if m.allotted == nil || m.allotted.generation <= m.generation {
		return
	}
	m.settleAt = m.settleTime(now)
	m.generation = m.allotted.generation
}

// holdsUnits reports whether the host holds units of its own or has lent any.
func (m *Machine) holdsUnits() bool {
	return m.base.effective > 0 || slices.ContainsFunc(m.accounts, func(a *account) bool {
		return a.base.effective > 0 || len(a.lent) > 0
	})
}

// settle reports a division once the loans of the one before have ended.
func (m *Machine) settle(now machine.Instant) {
	if m.generation > m.settled && now >= m.settleAt {
		m.settled = m.generation
		m.out = append(m.out, Settled{Era: m.view.Era, Generation: m.settled})
	}
}
