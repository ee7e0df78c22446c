package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// handoverRetryInterval is the interval between requests for the same handover.
	handoverRetryInterval = 300 * time.Millisecond
	// handoverTimeout limits the wait for a live previous owner, whose log holds
	// the same claims. The wait is longer for one with claims that no log holds,
	// because without its answer their outcome is unknown for a day.
	handoverTimeout            = time.Second
	handoverTimeoutUncommitted = 10 * time.Second
	// damagedAnchorRetryInterval is the wait before an anchor that could not be
	// decoded is read again.
	damagedAnchorRetryInterval = time.Second
)

// partition is this host's state of one partition.
type partition struct {
	// epoch is the epoch in which this host is, or last was, the owner.
	epoch uint64
	owned bool
	// serving is true once this host decides on requests with all recoverable claims
	// of earlier owners: as soon as it has them from a handover or from its own
	// earlier tenure, otherwise at the end of the takeover.
	serving bool
	// anchored is true once those claims are in this host's log and the stored
	// anchor names this host.
	anchored bool
	// kept is true while the entries of a partition that this host no longer serves
	// are kept for the next owner; keptEpoch is the epoch in which they were complete.
	kept      bool
	keptEpoch uint64
	// previousUncommitted is true if the previous owner may have granted claims
	// that no log holds.
	previousUncommitted bool
	// unknownBefore is written to this host's anchor as UnknownBefore.
	unknownBefore   int64
	pendingTakeover *takeover
}

// mayHaveUnloggedGrant reports, for an id without an entry, whether an earlier
// owner may have granted it without writing the claim to its log.
func (p *partition) mayHaveUnloggedGrant(key string, wallMillis int64) bool {
	if p.unknownBefore == 0 || wallMillis > p.unknownBefore+(retention+retentionMargin).Milliseconds() {
		return false
	}
	return !isAfterTakeover(key, p.unknownBefore)
}

// takeover is the state of an ongoing takeover of a partition.
type takeover struct {
	partition   int
	ownership   fleet.Partition
	started     machine.Instant
	requestedAt machine.Instant

	anchor       anchor
	storedAnchor storedObject
	hasAnchor    bool
	// importing is true once the claims are loaded and being written.
	importing bool
	reading   bool
	// superseded is true if the stored anchor names an owner of a later epoch.
	superseded bool

	// tenure is the earlier epoch whose claims are requested.
	tenure   uint64
	chunks   map[uint32]HandoverChunk
	handover bool
	// unserved is true if the previous owner reported that it granted nothing.
	unserved bool
}

// ownerHistoryEpochs is the number of epochs of a partition with recorded owners.
const ownerHistoryEpochs = 16

// recordOwners adds the owners in the view to the ownership history.
func (m *Machine) recordOwners() {
	for i := range m.view.Partitions {
		v := &m.view.Partitions[i]
		owners := m.owners[i]
		if owners == nil {
			owners = map[uint64]fleet.Member{}
			m.owners[i] = owners
		}
		if v.Owner.Host != "" {
			owners[v.Epoch] = v.Owner
		}
		if v.Epoch > 0 {
			owners[v.Epoch-1] = v.Previous
		}
		if v.Epoch > ownerHistoryEpochs {
			delete(owners, v.Epoch-ownerHistoryEpochs)
		}
	}
}

// updatePartitions applies the ownership changes of a new view.
func (m *Machine) updatePartitions() {
	for i := range m.partitions {
		p := &m.partitions[i]
		v := m.view.Partitions[i]
		owns := v.Owner == m.o.Self
		if p.owned && (!owns || v.Epoch != p.epoch) {
			m.stopServing(i)
		}
		if owns && !p.owned {
			p.owned = true
			p.epoch = v.Epoch
			p.previousUncommitted = v.PreviousUncommitted
			p.pendingTakeover = &takeover{partition: i, ownership: v, tenure: v.Epoch - 1, started: m.now.Instant}
			m.readAnchor(p.pendingTakeover)
		}
	}
	m.advanceTakeovers()
}

// stopServing stops serving a partition but keeps its claims for the next owner.
func (m *Machine) stopServing(i int) {
	p := &m.partitions[i]
	if p.serving {
		p.kept = true
		p.keptEpoch = p.epoch
	}
	if !p.kept {
		m.dropPartition(i)
	}
	p.owned = false
	p.serving = false
	p.anchored = false
	p.pendingTakeover = nil
	m.mode.forgetPartition(i)
}

// dropPartition removes all entries of a partition.
func (m *Machine) dropPartition(i int) {
	for _, e := range m.entriesOf(i) {
		m.mode.forget(e)
		m.table.remove(e)
	}
}

func (m *Machine) entriesOf(i int) []*entry {
	entries := make([]*entry, 0, len(m.table.entries[i]))
	for _, e := range m.table.entries[i] {
		entries = append(entries, e)
	}
	return entries
}

// allAnchored reports whether the anchors of all served partitions name this
// host, so that later owners will read its log.
func (m *Machine) allAnchored() bool {
	for i := range m.partitions {
		if m.partitions[i].serving && !m.partitions[i].anchored {
			return false
		}
	}
	return true
}

// isCurrent reports whether t is still the pending takeover of its partition.
func (m *Machine) isCurrent(t *takeover) bool {
	return m.partitions[t.partition].pendingTakeover == t
}

func (m *Machine) readAnchor(t *takeover) {
	m.store.read(anchorKey(t.partition), func(s storedObject) {
		if m.isCurrent(t) {
			m.handleAnchor(t, s)
		}
	})
}

func (m *Machine) handleAnchor(t *takeover, s storedObject) {
	t.storedAnchor = s
	t.anchor = anchor{}
	if s.Version > 0 {
		if err := decodeObject(anchorKey(t.partition), s.Value, &t.anchor); err != nil {
			m.event("claim-log-error", anchorKey(t.partition).Name, err.Error())
			m.store.after(damagedAnchorRetryInterval, func() { m.readAnchor(t) })
			return
		}
	}
	if t.anchor.Epoch > t.ownership.Epoch {
		// A later owner has already taken over; a view that shows it will arrive.
		m.partitions[t.partition].serving = false
		t.superseded = true
		return
	}
	t.hasAnchor = true
	m.advanceTakeover(t)
}

// advanceTakeovers advances every pending takeover.
func (m *Machine) advanceTakeovers() {
	for i := range m.partitions {
		if t := m.partitions[i].pendingTakeover; t != nil {
			m.advanceTakeover(t)
		}
	}
}

// advanceTakeover performs the next step of a takeover. The claims come from the
// previous owner if it is alive, otherwise from the log that the anchor names.
func (m *Machine) advanceTakeover(t *takeover) {
	p := &m.partitions[t.partition]
	if t.superseded || t.importing || t.reading || m.log.sealed {
		return
	}
	if t.handover {
		if !p.serving {
			m.loadHandover(t)
		}
		if t.hasAnchor {
			m.importEntries(t)
		}
		return
	}
	waiting := m.requestHandover(t)
	if t.handover {
		m.advanceTakeover(t)
		return
	}
	if waiting || !t.hasAnchor {
		return
	}
	owner := t.anchor.Owner
	switch {
	case t.storedAnchor.Version == 0:
		m.loadClaims(t, nil, 0)
	case owner == m.o.Self:
		m.reuseAnchoredEntries(t)
	default:
		m.readOwnerLog(t, owner)
	}
}

// reuseAnchoredEntries continues with this host's entries of an earlier epoch,
// because the stored anchor names this host.
func (m *Machine) reuseAnchoredEntries(t *takeover) {
	p := &m.partitions[t.partition]
	p.unknownBefore = m.unknownBefore(t, t.anchor.UnknownBefore)
	if p.unknownBefore > t.anchor.UnknownBefore {
		for _, e := range m.entriesOf(t.partition) {
			e.markFreeAsUnknown()
		}
	}
	m.importEntries(t)
}

// markFreeAsUnknown changes the state of a free id to unknown. A release in the log
// does not prove that the id is still free if an owner granted claims that no log
// holds.
func (r *record) markFreeAsUnknown() {
	if r.State == stateFree {
		r.State = stateUnknown
	}
}

func (m *Machine) readOwnerLog(t *takeover, owner fleet.Member) {
	t.reading = true
	seal := !m.live[owner.Incarnation]
	m.readLog(owner.Incarnation, seal, func(records []record, intact bool) {
		if !m.isCurrent(t) {
			return
		}
		t.reading = false
		unknownBefore := t.anchor.UnknownBefore
		if !intact {
			unknownBefore = max(unknownBefore, t.ownership.TakenOverMillis)
		}
		var partitionRecords []record
		for _, r := range records {
			if PartitionOf(r.ID) == t.partition && r.Epoch >= t.anchor.Epoch {
				partitionRecords = append(partitionRecords, r)
			}
		}
		m.loadClaims(t, partitionRecords, unknownBefore)
	})
}

// unknownBefore returns the time of the last takeover from an owner that may
// have granted claims that no log holds; earlier is the time known so far.
func (m *Machine) unknownBefore(t *takeover, earlier int64) int64 {
	if t.ownership.PreviousUncommitted && !t.handover {
		earlier = max(earlier, t.ownership.TakenOverMillis)
	}
	return earlier
}

// loadClaims loads the claims of earlier owners and starts writing them to the log.
func (m *Machine) loadClaims(t *takeover, records []record, earlier int64) {
	p := &m.partitions[t.partition]
	p.unknownBefore = m.unknownBefore(t, earlier)
	if p.unknownBefore > t.anchor.UnknownBefore {
		for i := range records {
			records[i].markFreeAsUnknown()
		}
	}
	m.replaceEntries(t, records)
	m.importEntries(t)
}

func (m *Machine) replaceEntries(t *takeover, records []record) {
	m.dropPartition(t.partition)
	m.partitions[t.partition].kept = false
	for _, r := range records {
		if !r.isExpired(m.now.WallMillis) {
			e := m.table.add(r, t.partition)
			e.Epoch = t.ownership.Epoch
		}
	}
}

// importEntries writes the claims of the partition to this host's log and then
// updates the anchor to name this host.
func (m *Machine) importEntries(t *takeover) {
	t.importing = true
	for _, e := range sortedEntries(m.entriesOf(t.partition)) {
		e.Epoch = t.ownership.Epoch
		m.log.rewrite(e)
	}
	m.log.barrier(func() {
		if m.isCurrent(t) {
			m.writeAnchor(t)
		}
	})
}

func (m *Machine) writeAnchor(t *takeover) {
	own := anchor{Epoch: t.ownership.Epoch, Owner: m.o.Self, UnknownBefore: m.partitions[t.partition].unknownBefore}
	m.store.write(anchorKey(t.partition), t.storedAnchor.Version, encodeObject(own), func(current storedObject, written bool) {
		if !m.isCurrent(t) {
			return
		}
		if !written {
			// Another owner wrote the anchor after this host read it, and its log
			// may hold claims that are missing here.
			m.restartTakeover(t, current)
			return
		}
		m.finishTakeover(t)
	})
}

func (m *Machine) restartTakeover(t *takeover, current storedObject) {
	fresh := &takeover{partition: t.partition, ownership: t.ownership, tenure: t.ownership.Epoch - 1, started: t.started}
	m.partitions[t.partition].pendingTakeover = fresh
	m.partitions[t.partition].serving = false
	m.handleAnchor(fresh, current)
}

// finishTakeover starts granting logged claims and notifies the previous owner.
func (m *Machine) finishTakeover(t *takeover) {
	p := &m.partitions[t.partition]
	p.pendingTakeover = nil
	p.serving = true
	p.anchored = true
	p.kept = false
	for _, e := range sortedEntries(m.entriesOf(t.partition)) {
		if e.durable {
			m.entryCommitted(e)
		}
	}
	m.mode.tryReturnToCommitted()
	previous := t.ownership.Previous
	if m.live[previous.Incarnation] && previous != m.o.Self {
		m.send(previous.Host, HandoverDone{Partition: uint8(t.partition), Epoch: p.epoch})
	}
	for _, owner := range []fleet.Member{previous, t.anchor.Owner} {
		m.scheduleGarbageCheck(owner)
	}
}
