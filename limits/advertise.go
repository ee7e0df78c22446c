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
	// spareFanout bounds the peers that get one advertisement. In a larger cell,
	// advertisements rotate through the peers.
	spareFanout = 12
	// spareItems bounds the customers in one advertisement.
	spareItems = 64
	// unresponsiveSlack is added to two rounds of advertisements before a peer counts
	// as unresponsive.
	unresponsiveSlack = 1500 * time.Millisecond
)

// handleSpare handles an advertisement of a peer.
func (m *Machine) handleSpare(now machine.Instant, from fleet.Member, s Spare) {
	if s.Sequence <= m.lastSpareSequences[from] || !m.isMember(from) {
		return
	}
	m.lastSpareSequences[from] = s.Sequence
	for _, a := range m.accounts {
		a.peerSpares[from.Host] = peerSpare{at: now}
	}
	for _, item := range s.Items {
		if a := m.index[item.Customer]; a != nil {
			a.peerSpares[from.Host] = peerSpare{units: int64(item.Units), tokens: float64(item.Stored) * millitoken, at: now}
		}
	}
}

// advertise sends peers the spare units of this host.
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
		peer := &members[m.nextSparePeer%len(members)]
		m.nextSparePeer++
		if peer.Member != m.view.Self && canHoldShare(peer) {
			m.send(peer.Host, s)
			sent++
		}
	}
}

// spareItems lists the customers whose units the host could lend. If there are
// more than fit, the next advertisement continues where this one ended.
func (m *Machine) spareItems(now machine.Instant) []SpareItem {
	var items []SpareItem
	for range m.accounts {
		if len(items) == spareItems {
			break
		}
		a := m.accounts[m.nextSpareAccount%len(m.accounts)]
		m.nextSpareAccount++
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

// unresponsive reports whether no message of a peer arrived for longer than the
// time in which it advertises to every host of the cell twice.
func (m *Machine) unresponsive(peer fleet.HostID, now machine.Instant) bool {
	seen, ok := m.lastSeen[peer]
	if !ok {
		seen = m.viewAt
	}
	rounds := time.Duration((len(m.view.Members) + spareFanout - 1) / spareFanout)
	return now.Sub(seen) > 2*rounds*spareInterval+unresponsiveSlack
}

// shouldPool reports whether this host collects the units of a small burst: it is
// the first by rendezvous hashing of the customer over the responsive hosts. If two
// hosts disagree, they share the units, which costs messages but is safe.
func (m *Machine) shouldPool(a *account, now machine.Instant) bool {
	if m.leaving || !a.small() {
		return false
	}
	ownScore := rendezvous(a.id, m.view.Self.Host)
	for i := range m.view.Members {
		peer := &m.view.Members[i]
		if peer.Member == m.view.Self || !peer.Reachable || peer.State != fleet.StateActive || m.unresponsive(peer.Host, now) {
			continue
		}
		if rendezvous(a.id, peer.Host) > ownScore {
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
