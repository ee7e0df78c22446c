package limits

import (
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// SharesFrom sets from when the host may use larger shares than before, whatever its view
// says.
type SharesFrom struct {
	At machine.Instant
}

// MachineInput marks SharesFrom as an input.
func (SharesFrom) MachineInput() {}

// beginEra forgets the divisions of an earlier era of the store, whose registrations say
// nothing about those of this one, and keeps the shares for a while.
func (m *Machine) beginEra(now machine.Instant) {
	m.generation, m.settled, m.settleAt = 0, 0, 0
	m.keepUntil = now.Add(m.bounds.EraKeep)
}

// keepsShares reports whether the host goes on with the shares of an earlier era.
func (m *Machine) keepsShares(now machine.Instant) bool { return now < m.keepUntil }

// endKeeping applies the shares of the current era once the time to keep those of the earlier
// one has passed.
func (m *Machine) endKeeping(now machine.Instant) {
	if m.keepUntil == 0 || now < m.keepUntil {
		return
	}
	m.keepUntil = 0
	m.setBase(now, m.ownWeight(), 0)
}

// settleTime returns when a new division by the list of hosts may be recorded.
func (m *Machine) settleTime(now machine.Instant) machine.Instant {
	switch {
	case m.keepsShares(now) && m.fits():
		return now
	case m.keepsShares(now):
		return m.keepUntil.Add(increaseDelay)
	case m.holdsUnits() || m.generation == 0 && m.successor:
		return now.Add(increaseDelay)
	}
	return now
}

// fits reports whether the host holds no more than the parts that the division by the current
// list gives to the hosts whose shares it uses, so that it may record that division at once.
func (m *Machine) fits() bool {
	even, parts := int64(0), map[fleet.Customer]int64{}
	for i := range m.allotted.hosts {
		if m.allotted.hosts[i].holder != m.view.Self.Host {
			continue
		}
		even += evenPart(m.allotted.hosts[i].regions, m.allotted.hosts[i].inRegion)
		for _, a := range m.accounts {
			parts[a.id] += m.allotted.part(i, m.allotted.scores(a.id), a.burst)
		}
	}
	return m.base.effective <= even && !slices.ContainsFunc(m.accounts, func(a *account) bool { return a.base.effective > parts[a.id] })
}
