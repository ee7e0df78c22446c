package limits

import (
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// baseShare is a host's share of a limit by the view, in units.
type baseShare struct {
	inForce int64
	// growths are the increases that have not taken effect, ascending.
	growths []growth
}

// growth is a larger base share and the time at which it takes effect.
type growth struct {
	share int64
	at    machine.Instant
}

// set applies the share of a new view: a decrease at once, an increase at growAt.
// It reports whether the share in force decreased.
func (s *baseShare) set(units int64, growAt machine.Instant) bool {
	s.capGrowths(units)
	reduced := units < s.inForce
	if reduced {
		s.inForce = units
	}
	if units > s.pending() {
		s.growths = append(s.growths, growth{share: units, at: growAt})
	}
	return reduced
}

// capGrowths caps the pending increases at a share. A capped increase keeps its
// time, because the smaller share has been allowed since it was recorded.
func (s *baseShare) capGrowths(units int64) {
	for i := range s.growths {
		if s.growths[i].share >= units {
			s.growths[i].share = units
			s.growths = s.growths[:i+1]
			break
		}
	}
	for len(s.growths) > 0 && s.growths[len(s.growths)-1].share <= s.inForce {
		s.growths = s.growths[:len(s.growths)-1]
	}
}

// pending returns the share once all increases are in force.
func (s *baseShare) pending() int64 {
	if len(s.growths) == 0 {
		return s.inForce
	}
	return s.growths[len(s.growths)-1].share
}

// applyGrowths puts the increases that are due in force and reports whether there
// were any.
func (s *baseShare) applyGrowths(now machine.Instant) bool {
	grown := false
	for len(s.growths) > 0 && now >= s.growths[0].at {
		s.inForce, s.growths = s.growths[0].share, s.growths[1:]
		grown = true
	}
	return grown
}

// forNewCustomer returns the base share of a customer that no host had before, for
// a host whose share of all limits is s. Other hosts may still divide a limit by an
// older view, so a host that waits for a larger share also waits with its share of
// a divided limit.
func (s *baseShare) forNewCustomer(units int64, divided bool) baseShare {
	if !divided {
		return baseShare{inForce: s.inForce, growths: slices.Clone(s.growths)}
	}
	if len(s.growths) > 0 {
		return baseShare{growths: []growth{{share: units, at: s.growths[len(s.growths)-1].at}}}
	}
	if s.inForce == 0 {
		return baseShare{}
	}
	return baseShare{inForce: units}
}
