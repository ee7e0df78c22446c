package limits

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// spareInterval is the time between two advertisements.
	spareInterval = time.Second
	// spareFanout bounds the peers that get one advertisement. In a larger cell
	// the peers take turns.
	spareFanout = 12
	// spareItems bounds the customers in one advertisement.
	spareItems = 64
	// silenceSlack is added to two rounds of advertisements before a peer that is
	// not heard counts as silent.
	silenceSlack = 1500 * time.Millisecond
)

// spare takes an advertisement.
func (m *Machine) spare(now machine.Instant, from fleet.Member, s Spare) {
	if s.Sequence <= m.heardSpare[from] || !m.knows(from) {
		return
	}
	m.heardSpare[from] = s.Sequence
	for _, a := range m.accounts {
		a.spares[from.Host] = figure{at: now}
	}
	for _, item := range s.Items {
		if a := m.index[item.Customer]; a != nil {
			a.spares[from.Host] = figure{units: int64(item.Units), tokens: float64(item.Stored) * millitoken, at: now}
		}
	}
}

// advertise tells peers what the host could lend.
func (m *Machine) advertise(now machine.Instant) {
	if now < m.nextSpare || now >= m.leaseUntil {
		return
	}
	m.nextSpare = now.Add(spareInterval)
	m.sequence++
	s := Spare{Sequence: m.sequence, Items: m.spareItems(now)}
	members := m.view.Members
	sent := 0
	for range members {
		if sent == spareFanout {
			return
		}
		peer := &members[m.spareFrom%len(members)]
		m.spareFrom++
		if peer.Member != m.view.Self && lends(peer) {
			m.send(peer.Host, s)
			sent++
		}
	}
}

// spareItems lists the customers of which the host could lend. If there are more
// than fit, the next advertisement goes on where this one ended.
func (m *Machine) spareItems(now machine.Instant) []SpareItem {
	var items []SpareItem
	for range m.accounts {
		if len(items) == spareItems {
			break
		}
		a := m.accounts[m.spareAccount%len(m.accounts)]
		m.spareAccount++
		units := m.advertised(a, a.spare(ForDemand, now))
		stored := 0.0
		if a.spare(ForWaiting, now) >= minLoan {
			stored = a.usage.Level
		}
		if a.active && (units >= minLoan || stored > 0) {
			items = append(items, SpareItem{Customer: a.id, Units: uint32(units), Stored: toMillitokens(stored)})
		}
	}
	return items
}

// silent reports whether a peer was not heard for longer than the time in which
// it advertises to every host of the cell twice.
func (m *Machine) silent(peer fleet.HostID, now machine.Instant) bool {
	heard, ok := m.heardAt[peer]
	if !ok {
		heard = m.viewAt
	}
	rounds := time.Duration((len(m.view.Members) + spareFanout - 1) / spareFanout)
	return now.Sub(heard) > 2*rounds*spareInterval+silenceSlack
}

// pools reports whether this host gathers the units of a small burst: the first
// in a rendezvous hash of the customer and the hosts that are heard. Two hosts
// that disagree on it share the units, which costs messages but no safety.
func (m *Machine) pools(a *account, now machine.Instant) bool {
	if m.leaving || !a.small() {
		return false
	}
	own := rendezvous(a.id, m.view.Self.Host)
	for i := range m.view.Members {
		peer := &m.view.Members[i]
		if peer.Member == m.view.Self || !peer.Reachable || peer.State != fleet.StateActive || m.silent(peer.Host, now) {
			continue
		}
		if rendezvous(a.id, peer.Host) > own {
			return false
		}
	}
	return true
}

func rendezvous(customer fleet.Customer, host fleet.HostID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(customer))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
