package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// notePause detects that this process did not run for a while, and the hosts that are
// dead since.
func (m *Machine) notePause(now machine.Instant) {
	if gap := now.Sub(m.lastStep); m.lastStep != 0 && gap >= minPause {
		m.paused, m.resumedAt = gap, now
		m.expire(now)
	}
	m.lastStep = now
}

// maxWait returns how long a message that is received now may have waited for this
// process.
func (m *Machine) maxWait(now machine.Instant) time.Duration {
	if m.paused > 0 && now.Sub(m.resumedAt) < backlogTime {
		return m.paused
	}
	return 0
}

// newHostState returns the state of a host that is new in the list. A fleet that starts
// for the first time is listed bit by bit, and its hosts count as alive.
func (m *Machine) newHostState(now machine.Instant, first bool) *hostState {
	if first || !m.joins && now.Sub(m.listedAt) < deadAfter {
		return &hostState{lastSeen: now, alive: true, unconfirmed: m.joins}
	}
	return &hostState{addedAt: now, unconfirmed: true}
}

// expire detects dead hosts.
func (m *Machine) expire(now machine.Instant) {
	changed := false
	confirmUntil := m.confirmUntil()
	for id, state := range m.hosts {
		alive := id == m.ownEntry.Host || now.Sub(state.lastSeen) < deadAfter && (!state.unconfirmed || state.addedAt == 0 && now < confirmUntil)
		if alive != state.alive {
			state.alive = alive
			changed = true
		}
	}
	if changed {
		m.publish(true)
	}
}

// confirmUntil returns until when hosts of the first list without a sign of life count
// as alive.
func (m *Machine) confirmUntil() machine.Instant {
	if m.announcedAt == 0 {
		return m.listedAt.Add(deadAfter)
	}
	return max(m.listedAt, m.announcedAt).Add(confirmTime)
}

// askAdded requests the digests of hosts that were just added, up to maxFirstProbes.
func (m *Machine) askAdded(now machine.Instant) {
	asked := 0
	for _, id := range m.sortedHosts {
		if asked < maxFirstProbes && id != m.ownEntry.Host && m.isJustAdded(m.hosts[id], now) {
			m.ask(id)
			asked++
		}
	}
}

// probe requests digests of the live hosts that were seen least recently, and of hosts
// of which there is no sign of life yet.
func (m *Machine) probe(now machine.Instant) {
	var stale, unconfirmed []uint32
	for id, state := range m.hosts {
		switch {
		case id == m.ownEntry.Host || !state.alive && !m.isJustAdded(state, now):
		case state.unconfirmed:
			unconfirmed = append(unconfirmed, id)
		case now.Sub(state.lastSeen) >= probeAfter:
			stale = append(stale, id)
		}
	}
	slices.SortFunc(stale, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(m.hosts[a].lastSeen, m.hosts[b].lastSeen), cmp.Compare(a, b))
	})
	for _, id := range stale[:min(len(stale), maxProbes)] {
		m.ask(id)
	}
	slices.Sort(unconfirmed)
	for i := range min(len(unconfirmed), maxFirstProbes) {
		m.ask(unconfirmed[(m.round*maxFirstProbes+i)%len(unconfirmed)])
	}
}

// isJustAdded reports whether a host was added to the list a short time ago and there is
// no sign of life of it yet.
func (m *Machine) isJustAdded(state *hostState, now machine.Instant) bool {
	if !state.unconfirmed || state.addedAt == 0 {
		return false
	}
	age := now.Sub(state.addedAt)
	return age < probeAddedFor && (age >= relayTime || len(m.hosts) < replyFleetSize)
}

// ask requests the digest of a host.
func (m *Machine) ask(id uint32) {
	m.out = append(m.out, machine.Send{To: m.hosts[id].ID, Message: Digest{Entries: Entries{m.ownEntry}, Ask: true, Revisions: m.revisions}})
}
