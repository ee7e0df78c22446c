package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// unconfirmedTime is how long a host waits for a sign of life of a holder of which there
	// has been none since the holder was listed.
	unconfirmedTime = 2500 * time.Millisecond
	// rankDelay is how much longer each further host waits before it acts in place of the
	// ones before it.
	rankDelay = 3 * time.Second
	// refutedTime is how long a host does not suspect a holder again that has refuted it.
	refutedTime = 30 * time.Second
	// releaseDelay is how long a host waits between the end of its use of a part and the
	// record of that. It covers the longest loan, 2.24 s.
	releaseDelay = 3 * time.Second
	// maxChanges bounds the changes that a host writes at a time. They are computed again
	// every changesInterval.
	maxChanges      = 8
	changesInterval = 250 * time.Millisecond
)

// watchedEntry is what this host has observed of an entry and its holder.
type watchedEntry struct {
	// revision is that of the entry, seenAt when this host first saw it.
	revision uint64
	seenAt   machine.Instant
	holder   fleet.HostID
	// listedAt is when the holder was first seen, silentSince since when it is silent; 0 if
	// it isn't.
	listedAt, silentSince machine.Instant
	// suspectedBySelf is true if the suspicion was this host's.
	suspectedBySelf bool
	// notBefore is when this host may suspect the holder again.
	notBefore machine.Instant
}

// changes returns the changes of entries that this host should write.
func (m *Machine) changes(now, validUntil machine.Instant) []Change {
	m.watch(now)
	changes := m.ownChanges(now)
	if now >= validUntil || len(m.held)+maxChanges > maxParts {
		// A host without a lease may be the one that is cut off.
		return changes
	}
	for i := range m.entries {
		if len(changes) >= maxChanges {
			break
		}
		if c, due := m.changeOfSilent(now, &m.entries[i]); due {
			changes = append(changes, c)
		}
	}
	return changes
}

// ownChanges returns the changes of entries that this host holds or owns.
func (m *Machine) ownChanges(now machine.Instant) []Change {
	var changes []Change
	add := func(kind ChangeKind, e *catalog.Host) {
		if len(changes) < maxChanges {
			changes = append(changes, Change{Kind: kind, Owner: e.ID, Revision: e.Revision})
		}
	}
	for i := range m.entries {
		e := &m.entries[i]
		switch {
		case e.Unreadable:
		case e.HeldBy == m.self.Host && e.Reclaimed:
			if now.Sub(m.watched[e.ID].seenAt) >= releaseDelay {
				add(Release, e)
			}
		case e.Holder() == m.self.Host && e.SuspectedBy != "":
			add(Refute, e)
		case e.ID == m.self.Host && e.HeldBy != "" && !e.Reclaimed:
			add(Reclaim, e)
		}
	}
	return changes
}

// watch notes what changed of the entries and their holders.
func (m *Machine) watch(now machine.Instant) {
	peers := make(map[fleet.HostID]*gossip.Peer, len(m.peers))
	for i := range m.peers {
		peers[m.peers[i].ID] = &m.peers[i]
	}
	present := make(map[fleet.HostID]bool, len(m.entries))
	for i := range m.entries {
		e := &m.entries[i]
		present[e.ID] = true
		w := m.watched[e.ID]
		if w == nil {
			w = &watchedEntry{}
			m.watched[e.ID] = w
		}
		if holder := holderOf(e); w.listedAt == 0 || w.holder != holder {
			*w = watchedEntry{holder: holder, listedAt: now}
		}
		if w.seenAt == 0 || w.revision != e.Revision {
			if w.suspectedBySelf && e.SuspectedBy == "" {
				w.notBefore = now.Add(refutedTime)
			}
			w.revision, w.seenAt, w.suspectedBySelf = e.Revision, now, e.SuspectedBy == m.self.Host
		}
		if !isSilent(peers[w.holder], now.Sub(w.listedAt)) || w.holder == m.self.Host {
			w.silentSince = 0
		} else if w.silentSince == 0 {
			w.silentSince = now
		}
	}
	for id := range m.watched {
		if !present[id] {
			delete(m.watched, id)
		}
	}
}

// holderOf returns the host that is responsible for an entry: also one that was asked to
// give the part back.
func holderOf(e *catalog.Host) fleet.HostID {
	if e.HeldBy != "" {
		return e.HeldBy
	}
	return e.ID
}

// isSilent reports whether a holder is silent that was listed a time ago.
func isSilent(p *gossip.Peer, listedFor time.Duration) bool {
	if p != nil && (p.Alive || p.Confirmed()) {
		return !p.Alive
	}
	return listedFor >= unconfirmedTime
}

// changeOfSilent returns the change of an entry whose holder is silent. The hosts that may
// write it are ranked, and each waits longer than the ones before it.
func (m *Machine) changeOfSilent(now machine.Instant, e *catalog.Host) (Change, bool) {
	w := m.watched[e.ID]
	if w.silentSince == 0 || e.Unreadable || now < w.notBefore {
		return Change{}, false
	}
	rank := m.rank(e)
	if rank < 0 {
		return Change{}, false
	}
	wait := time.Duration(rank) * rankDelay
	switch {
	case e.SuspectedBy == "" && now.Sub(w.silentSince) >= wait:
		return Change{Kind: Suspect, Owner: e.ID, Revision: e.Revision}, true
	case e.SuspectedBy != "" && now.Sub(w.seenAt) >= Wait+wait:
		return Change{Kind: TakeOver, Owner: e.ID, Revision: e.Revision}, true
	}
	return Change{}, false
}

// rank returns the position of this host among the serving ones that may take over an
// entry: its owner, then the hosts of its region, then the others, each by rendezvous
// hashing. It returns -1 if this host isn't serving.
func (m *Machine) rank(e *catalog.Host) int {
	class := func(p *gossip.Peer) int {
		switch {
		case p.ID == e.ID:
			return 0
		case p.Location.Region == e.Location.Region:
			return 1
		}
		return 2
	}
	i := slices.IndexFunc(m.peers, func(p gossip.Peer) bool { return p.ID == m.self.Host })
	if i < 0 || m.peers[i].Leaving {
		return -1
	}
	self := &m.peers[i]
	ownClass, ownScore, rank := class(self), score(e.ID, self.ID), 0
	for k := range m.peers {
		p := &m.peers[k]
		if k == i || !p.Alive || p.Leaving || !p.Confirmed() {
			continue
		}
		if cmp.Or(cmp.Compare(class(p), ownClass), cmp.Compare(score(e.ID, p.ID), ownScore)) < 0 {
			rank++
		}
	}
	return rank
}

func score(owner, host fleet.HostID) uint64 {
	return xxhash.Sum64String(string(owner) + "/" + string(host))
}
