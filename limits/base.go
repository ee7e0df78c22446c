package limits

import (
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// baseShare is a host's share of a limit by the view, in units.
type baseShare struct {
	// effective is the share that applies now.
	effective int64
	// increases are the increases that have not taken effect, ascending.
	increases []shareIncrease
}

// shareIncrease is an increased base share and the time at which it takes effect.
type shareIncrease struct {
	share int64
	at    machine.Instant
}

// set applies the share of a new view: a decrease at once, an increase at increaseAt.
// It reports whether the share in effect decreased.
func (s *baseShare) set(units int64, increaseAt machine.Instant) bool {
	s.capIncreases(units)
	reduced := units < s.effective
	if reduced {
		s.effective = units
	}
	if units > s.pending() {
		s.increases = append(s.increases, shareIncrease{share: units, at: increaseAt})
	}
	return reduced
}

// capIncreases caps the pending increases at a share. A capped increase keeps its
// time, because the smaller share has been allowed since it was recorded.
func (s *baseShare) capIncreases(units int64) {
	for i := range s.increases {
		if s.increases[i].share >= units {
			s.increases[i].share = units
			s.increases = s.increases[:i+1]
			break
		}
	}
	for len(s.increases) > 0 && s.increases[len(s.increases)-1].share <= s.effective {
		s.increases = s.increases[:len(s.increases)-1]
	}
}

// pending returns the share once all increases have taken effect.
func (s *baseShare) pending() int64 {
	if len(s.increases) == 0 {
		return s.effective
	}
	return s.increases[len(s.increases)-1].share
}

// applyIncreases applies the increases that are due and reports whether there were
// any.
func (s *baseShare) applyIncreases(now machine.Instant) bool {
	increased := false
	for len(s.increases) > 0 && now >= s.increases[0].at {
		s.effective, s.increases = s.increases[0].share, s.increases[1:]
		increased = true
	}
	return increased
}

// forNewCustomer returns the base share of a customer that no host had before, for
// a host whose share of all limits is s. Other hosts may still divide a limit by an
// older view, so a host that waits for a larger share also waits with its share of
// a divided limit.
func (s *baseShare) forNewCustomer(units int64, divided bool) baseShare {
	if !divided {
		return baseShare{effective: s.effective, increases: slices.Clone(s.increases)}
	}
	if len(s.increases) > 0 {
		return baseShare{increases: []shareIncrease{{share: units, at: s.increases[len(s.increases)-1].at}}}
	}
	if s.effective == 0 {
		return baseShare{}
	}
	return baseShare{effective: units}
}
