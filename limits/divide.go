package limits

import (
	"cmp"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
)

// Division is the base share of one customer on each host, in units. If it is nil,
// every host holds its weight in the view.
type Division map[fleet.HostID]int64

// units returns the base share of a member.
func (d Division) units(member *fleet.ViewMember) int64 {
	if d == nil {
		return int64(member.Weight)
	}
	return d[member.Host]
}

// DivideAlike reports whether two configurations divide the limits of all customers of the
// earlier one in the same way.
func DivideAlike(earlier, later []CustomerLimit) bool {
	bursts := make(map[fleet.Customer]float64, len(later))
	for _, c := range later {
		bursts[c.ID] = c.Burst
	}
	return !slices.ContainsFunc(earlier, func(c CustomerLimit) bool {
		burst, ok := bursts[c.ID]
		return !ok || burst != c.Burst
	})
}

// byHolder returns a division in which the shares of members belong to the hosts that use
// them.
func (d Division) byHolder(view *fleet.View) Division {
	if !slices.ContainsFunc(view.Members, func(m fleet.ViewMember) bool { return m.Registered > 0 && m.Holder != m.Host }) {
		return d
	}
	held := make(Division, len(view.Members))
	for i := range view.Members {
		m := &view.Members[i]
		holder := m.Host
		if m.Registered > 0 {
			holder = m.Holder
		}
		if units := d.units(m); units > 0 && holder != "" {
			held[holder] += units
		}
	}
	return held
}

// Divide returns the division of a customer's limit over the members of a view, or
// nil if each holds its weight. All hosts must compute the same division from the
// same members, and it must not depend on which of them are reachable: a share moves
// only when the list of hosts changes.
type Divide func(view *fleet.View, customer fleet.Customer, burst float64) Division

// quotaHolderTokens is the number of tokens for which there is one quota holder, before
// the number is rounded up for the regions. Twice minTokens leaves most quota holders
// tokens to lend while they serve their own requests.
const quotaHolderTokens = 2 * minTokens

// quotaHolders returns the number of quota holders in each region.
//
// Invariant: with more regions, all regions together have no fewer quota holders, and
// each region no more. So the share of a quota holder never grows with the fleet.
func quotaHolders(regions int, burst float64) int {
	holders := max(1, int(burst/quotaHolderTokens))
	for r := 2; r <= regions; r++ {
		holders = (holders + r - 1) / r * r
	}
	return holders / max(1, regions)
}

// DivideSmall divides the limits of customers whose bursts are too small for all hosts:
// in each region with more hosts than quotaHolders, the first hosts by rendezvous
// hashing of the customer are quota holders, which hold the region's share, and the
// others borrow tokens from them when a request arrives. Otherwise one host would have
// to collect the shares of all others as loans and renew them every second: 57 requests
// per second per host in a fleet of 87 with 86 customers. The price is that losing a
// quota holder takes away a larger share of these customers' limits.
func DivideSmall(view *fleet.View, customer fleet.Customer, burst float64) Division {
	regions := make(map[fleet.Region][]*fleet.ViewMember)
	for i := range view.Members {
		member := &view.Members[i]
		if member.Weight > 0 {
			regions[member.Region] = append(regions[member.Region], member)
		}
	}
	division := make(Division, len(view.Members))
	divided := false
	for _, members := range regions {
		total := int64(0)
		for _, m := range members {
			total += int64(m.Weight)
		}
		holders := min(len(members), quotaHolders(len(regions), burst))
		if holders == len(members) {
			for _, m := range members {
				division[m.Host] = int64(m.Weight)
			}
			continue
		}
		divided = true
		for _, host := range firstByRendezvous(members, customer, holders) {
			division[host] = total / int64(holders)
		}
	}
	if !divided {
		return nil
	}
	return division
}

// firstByRendezvous returns the first n hosts of members in the order of a customer.
func firstByRendezvous(members []*fleet.ViewMember, customer fleet.Customer, n int) []fleet.HostID {
	type scored struct {
		host  fleet.HostID
		score uint64
	}
	order := make([]scored, len(members))
	for i, m := range members {
		order[i] = scored{host: m.Host, score: rendezvous(customer, m.Host)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	first := make([]fleet.HostID, 0, n)
	for _, s := range order[:n] {
		first = append(first, s.host)
	}
	return first
}

// sameDivisions reports whether every division of two views is the same: divisions
// depend on the hosts with their regions, weights and holders, not on their state.
func sameDivisions(a, b *fleet.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y fleet.ViewMember) bool {
		return x.Host == y.Host && x.Region == y.Region && x.Weight == y.Weight && x.Holder == y.Holder
	})
}

// sameRecords reports whether the hosts of two views with the same divisions have the same
// records in the store.
func sameRecords(a, b *fleet.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y fleet.ViewMember) bool {
		return x.Registered == y.Registered && x.Joined == y.Joined && x.ConfirmedGeneration == y.ConfirmedGeneration
	})
}
