package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// garbageDelay is the time from a takeover until the log of the earlier owner
	// is checked, and garbageStagger the offset between the checks of two hosts.
	// The first host usually removes the whole log.
	garbageDelay   = 10 * time.Minute
	garbageStagger = time.Minute
)

// garbageLog is the log of a lost owner, to be removed once no anchor names it.
type garbageLog struct {
	owner fleet.Member
	at    machine.Instant
	busy  bool
	found []foundObject
}

type foundObject struct {
	key     machine.StoreKey
	version uint64
}

// scheduleGarbageCheck schedules a check of the log of an earlier owner.
func (m *Machine) scheduleGarbageCheck(owner fleet.Member) {
	if owner.Host == "" || owner == m.o.Self {
		return
	}
	for _, g := range m.garbage {
		if g.owner == owner {
			return
		}
	}
	m.garbage = append(m.garbage, &garbageLog{owner: owner, at: m.now.Instant.Add(m.staggeredGarbageDelay())})
}

// staggeredGarbageDelay returns a delay that differs between the hosts of a cell.
func (m *Machine) staggeredGarbageDelay() time.Duration {
	wait := garbageDelay
	for i := range m.view.Members {
		if m.view.Members[i].Member == m.o.Self {
			wait += time.Duration(i) * garbageStagger
		}
	}
	return wait
}

// collectGarbage starts the removal of one log that is due.
func (m *Machine) collectGarbage() {
	for _, g := range m.garbage {
		if g.busy {
			return
		}
	}
	for _, g := range m.garbage {
		if g.at > m.now.Instant {
			continue
		}
		if m.live[g.owner.Incarnation] || m.mode.state != modeCommitted {
			g.at = m.now.Instant.Add(garbageDelay)
			continue
		}
		g.busy = true
		m.findGarbage(g)
		return
	}
}

// findGarbage lists the remaining objects of the log, starting with its head.
func (m *Machine) findGarbage(g *garbageLog) {
	g.found = nil
	m.store.read(headKey(g.owner.Incarnation), func(o storedObject) {
		head := logHead{}
		if o.Version > 0 {
			g.found = append(g.found, foundObject{key: headKey(g.owner.Incarnation), version: o.Version})
			if decodeObject(headKey(g.owner.Incarnation), o.Value, &head) != nil {
				m.forgetGarbage(g)
				return
			}
		}
		m.listGarbage(g, head.Kept, head.Low)
	})
}

// listGarbage lists the kept segments and then all segments from number low.
func (m *Machine) listGarbage(g *garbageLog, kept []uint64, low uint64) {
	number := low
	if len(kept) > 0 {
		number = kept[0]
	}
	key := segmentKey(g.owner.Incarnation, number)
	m.store.read(key, func(o storedObject) {
		if o.Version > 0 {
			g.found = append(g.found, foundObject{key: key, version: o.Version})
		}
		switch {
		case len(kept) > 0:
			m.listGarbage(g, kept[1:], low)
		case o.Version > 0:
			m.listGarbage(g, nil, low+1)
		case len(g.found) == 0:
			m.forgetGarbage(g)
		default:
			m.checkAnchors(g, 0)
		}
	})
}

// checkAnchors removes the log if no anchor names it.
func (m *Machine) checkAnchors(g *garbageLog, partition int) {
	if partition == fleet.Partitions {
		m.removeGarbage(g)
		return
	}
	m.store.read(anchorKey(partition), func(o storedObject) {
		a := anchor{}
		if o.Version > 0 && (decodeObject(anchorKey(partition), o.Value, &a) != nil || a.Owner == g.owner) {
			g.busy = false
			g.at = m.now.Instant.Add(garbageDelay)
			return
		}
		m.checkAnchors(g, partition+1)
	})
}

// removeGarbage deletes the objects in reverse order, so that another host can
// still find the rest if this one stops.
func (m *Machine) removeGarbage(g *garbageLog) {
	if len(g.found) == 0 {
		m.forgetGarbage(g)
		return
	}
	last := g.found[len(g.found)-1]
	g.found = g.found[:len(g.found)-1]
	m.store.remove(last.key, last.version, func() { m.removeGarbage(g) })
}

func (m *Machine) forgetGarbage(g *garbageLog) {
	for i := range m.garbage {
		if m.garbage[i] == g {
			m.garbage = append(m.garbage[:i], m.garbage[i+1:]...)
			return
		}
	}
}
