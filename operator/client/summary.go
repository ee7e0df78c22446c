package client

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
)

// Summary is the state of a cell, combined from the responses of its hosts.
type Summary struct {
	// Source is the host whose list of members was used.
	Source fleet.HostID `json:"source"`
	// Revision is the highest revision in force on any host, OldestRevision the lowest.
	Revision       fleet.Revision         `json:"revision"`
	OldestRevision fleet.Revision         `json:"oldestRevision"`
	Hosts          []HostSummary          `json:"hosts"`
	Customers      []CustomerSummary      `json:"customers"`
	Capacity       []CapacitySummary      `json:"capacity"`
	Shifts         []operator.Shift       `json:"shifts"`
	Quarantined    []operator.Quarantined `json:"quarantined"`
	Alerts         []operator.Alert       `json:"alerts"`
	// AlertEvaluator is the host that evaluates the alert rules; empty if none does.
	AlertEvaluator fleet.HostID `json:"alertEvaluator,omitempty"`
	Unreached      []Unreached  `json:"unreached"`
}

// HostSummary is one host of a Summary.
type HostSummary struct {
	Host  fleet.HostID `json:"host"`
	State fleet.State  `json:"state"`
	// Status is nil if the host could not be reached.
	Status *operator.Status `json:"status,omitempty"`
}

// CustomerSummary sums a customer's values over the hosts that answered.
type CustomerSummary struct {
	Customer fleet.Customer `json:"customer"`
	Rate     float64        `json:"rate"`
	Burst    float64        `json:"burst"`
	// Fraction is the sum of the hosts' base shares, 0 to 1.
	Fraction float64 `json:"part"`
	Admitted float64 `json:"admittedPerSecond"`
	Refused  float64 `json:"refusedPerSecond"`
	// Fractions holds the base shares by host.
	Fractions map[fleet.HostID]float64 `json:"parts"`
}

// CapacitySummary combines the hosts' values for a pool's capacity in one region.
type CapacitySummary struct {
	Pool      fleet.Pool   `json:"pool"`
	Region    fleet.Region `json:"region"`
	Upstreams int          `json:"upstreams"`
	Leaving   int          `json:"leaving"`
	Slots     int          `json:"slots"`
	InFlight  int          `json:"inFlight"`
	// Headroom is the fraction of the slots that is free, 0 to 1.
	Headroom float64 `json:"headroom"`
}

// Summarize combines the responses of a cell's hosts.
func Summarize(cell Cell) Summary {
	s := Summary{
		Source: cell.Source, Hosts: []HostSummary{}, Customers: []CustomerSummary{}, Capacity: []CapacitySummary{},
		Shifts: []operator.Shift{}, Quarantined: []operator.Quarantined{}, Alerts: []operator.Alert{}, Unreached: []Unreached{},
	}
	m := merger{
		customers:   map[fleet.Customer]*CustomerSummary{},
		capacity:    map[poolRegion]*CapacitySummary{},
		shifts:      map[operator.Shift]float64{},
		quarantined: map[string]operator.Quarantined{},
	}
	for i := range cell.Hosts {
		h := &cell.Hosts[i]
		s.Hosts = append(s.Hosts, HostSummary{Host: h.Peer.Host, State: h.Peer.State, Status: h.Status})
		if h.Err != nil {
			s.Unreached = append(s.Unreached, Unreached{Host: h.Peer.Host, Reason: h.Err.Error()})
			continue
		}
		s.addRevision(h.Status.Revision)
		m.add(h.Status)
		if h.Status.AlertEvaluator == h.Status.Host {
			s.AlertEvaluator = h.Status.Host
			s.Alerts = append(s.Alerts[:0], h.Status.Alerts...)
		}
	}
	m.write(&s)
	return s
}

func (s *Summary) addRevision(r fleet.Revision) {
	s.Revision = max(s.Revision, r)
	if s.OldestRevision == 0 || r < s.OldestRevision {
		s.OldestRevision = r
	}
}

type poolRegion struct {
	pool   fleet.Pool
	region fleet.Region
}

// merger combines the values reported by hosts.
type merger struct {
	customers   map[fleet.Customer]*CustomerSummary
	capacity    map[poolRegion]*CapacitySummary
	shifts      map[operator.Shift]float64
	quarantined map[string]operator.Quarantined
}

func (m *merger) add(s *operator.Status) {
	for _, share := range s.Shares {
		c := m.customers[share.Customer]
		if c == nil {
			c = &CustomerSummary{Customer: share.Customer, Fractions: map[fleet.HostID]float64{}}
			m.customers[share.Customer] = c
		}
		c.Rate, c.Burst = share.Rate, share.Burst
		c.Fraction += share.Fraction
		c.Admitted += share.Admitted
		c.Refused += share.Refused
		c.Fractions[s.Host] = share.Fraction
	}
	for _, reported := range s.Capacity {
		key := poolRegion{reported.Pool, reported.Region}
		c := m.capacity[key]
		if c == nil {
			c = &CapacitySummary{Pool: reported.Pool, Region: reported.Region}
			m.capacity[key] = c
		}
		// All hosts list the same upstreams, but some lists are older than others.
		c.Slots = max(c.Slots, reported.Slots)
		c.Upstreams = max(c.Upstreams, reported.Upstreams)
		c.Leaving = max(c.Leaving, reported.Leaving)
		c.InFlight += reported.InFlight
	}
	for _, shift := range s.Shifts {
		m.shifts[operator.Shift{Route: shift.Route, From: shift.From, To: shift.To}] += shift.PerSecond
	}
	for _, q := range s.Quarantined {
		if first, known := m.quarantined[q.Fingerprint]; !known || q.SinceMillis < first.SinceMillis {
			m.quarantined[q.Fingerprint] = q
		}
	}
}

func (m *merger) write(s *Summary) {
	for _, c := range m.customers {
		s.Customers = append(s.Customers, *c)
	}
	slices.SortFunc(s.Customers, func(a, b CustomerSummary) int { return cmp.Compare(a.Customer, b.Customer) })
	for _, c := range m.capacity {
		if c.Slots > 0 {
			c.Headroom = max(0, 1-float64(c.InFlight)/float64(c.Slots))
		}
		s.Capacity = append(s.Capacity, *c)
	}
	slices.SortFunc(s.Capacity, func(a, b CapacitySummary) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Region, b.Region))
	})
	for shift, rate := range m.shifts {
		shift.PerSecond = rate
		s.Shifts = append(s.Shifts, shift)
	}
	slices.SortFunc(s.Shifts, func(a, b operator.Shift) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	for _, fingerprint := range slices.Sorted(maps.Keys(m.quarantined)) {
		s.Quarantined = append(s.Quarantined, m.quarantined[fingerprint])
	}
}
