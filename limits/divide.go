package limits

import (
	"cmp"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
)

// Division is the base share of one customer on each host, in units. Without one,
// every host holds its weight of the view.
type Division map[fleet.HostID]int64

// units returns the base share of a member.
func (d Division) units(member *fleet.ViewMember) int64 {
	if d == nil {
		return int64(member.Weight)
	}
	return d[member.Host]
}

// Divide returns the division of a customer's limit over the members of a view, or
// nil if each holds its weight. All hosts must get the same division from the same
// members, and it must not depend on which of them are reachable: a share moves
// only with the list of hosts.
type Divide func(view *fleet.View, customer fleet.Customer, burst float64) Division

// keeperTokens is the number of tokens of the burst for which a region has one
// keeper. Twice minTokens leaves a keeper tokens to lend while it serves its own
// requests.
const keeperTokens = 2 * minTokens

// DivideSmall divides the limits of customers whose bursts are too small for all
// hosts: in each region where an even part holds less than minTokens, the first
// hosts in a rendezvous hash of the customer keep the part of the region, and the
// others borrow tokens from them when a request comes. Otherwise one host would
// have to gather the parts of all others by loans and to renew them each second:
// 57 requests a second and host on a fleet of 87 with 86 customers. The
// price is that the loss of a keeper takes a larger part of these customers' limits.
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
		keepers := len(members)
		if tokens := unitsOf(total, burst); tokens < float64(minTokens*len(members)) {
			keepers = min(len(members), max(1, int(tokens/keeperTokens)))
		}
		if keepers == len(members) {
			for _, m := range members {
				division[m.Host] = int64(m.Weight)
			}
			continue
		}
		divided = true
		slices.SortFunc(members, func(a, b *fleet.ViewMember) int {
			return cmp.Or(cmp.Compare(rendezvous(customer, b.Host), rendezvous(customer, a.Host)), cmp.Compare(a.Host, b.Host))
		})
		for _, m := range members[:keepers] {
			division[m.Host] = total / int64(keepers)
		}
	}
	if !divided {
		return nil
	}
	return division
}
