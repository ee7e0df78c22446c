package limits

import (
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// baseShare is what a host holds of a limit by the view, in units.
type baseShare struct {
	inForce int64
	// growths are the larger shares that are to take effect, ascending.
	growths []growth
}

// growth is a larger base share and the time at which it takes effect.
type growth struct {
	to int64
	at machine.Instant
}

// set takes the share of a new view: a smaller one applies at once, a larger one
// at growAt. It reports whether the share in force became smaller.
func (s *baseShare) set(units int64, growAt machine.Instant) bool {
	s.cut(units)
	reduced := units < s.inForce
	if reduced {
		s.inForce = units
	}
	if units > s.pending() {
		s.growths = append(s.growths, growth{to: units, at: growAt})
	}
	return reduced
}

// cut bounds the pending growths by a share. What is left of a growth keeps its
// time, because the share has been allowed since it was noted.
func (s *baseShare) cut(units int64) {
	for i := range s.growths {
		if s.growths[i].to >= units {
			s.growths[i].to = units
			s.growths = s.growths[:i+1]
			break
		}
	}
	for len(s.growths) > 0 && s.growths[len(s.growths)-1].to <= s.inForce {
		s.growths = s.growths[:len(s.growths)-1]
	}
}

// pending returns the share once all growths are in force.
func (s *baseShare) pending() int64 {
	if len(s.growths) == 0 {
		return s.inForce
	}
	return s.growths[len(s.growths)-1].to
}

// grow puts the larger shares in force whose time has come and reports whether
// there were any.
func (s *baseShare) grow(now machine.Instant) bool {
	grown := false
	for len(s.growths) > 0 && now >= s.growths[0].at {
		s.inForce, s.growths = s.growths[0].to, s.growths[1:]
		grown = true
	}
	return grown
}

// ofNewCustomer returns the base share of a customer that no host has had before,
// for a host whose part of all limits is s. Other hosts may divide a limit by an
// older view, so a host that waits for a larger part waits with its part of a
// divided limit as well.
func (s *baseShare) ofNewCustomer(units int64, divided bool) baseShare {
	if !divided {
		return baseShare{inForce: s.inForce, growths: slices.Clone(s.growths)}
	}
	if len(s.growths) > 0 {
		return baseShare{growths: []growth{{to: units, at: s.growths[len(s.growths)-1].at}}}
	}
	if s.inForce == 0 {
		return baseShare{}
	}
	return baseShare{inForce: units}
}
