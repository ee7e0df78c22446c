package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// handoverRetry is the time between two requests for the same handover.
	handoverRetry = 300 * time.Millisecond
	// handoverPatience bounds the wait for a live previous owner, whose log has
	// the same claims. A previous owner with claims that no log holds is waited
	// for longer, because without it they are unknown for a day.
	handoverPatience            = time.Second
	handoverPatienceUncommitted = 10 * time.Second
	// damagedAnchorRetry is the wait before an anchor that can't be decoded is
	// read again.
	damagedAnchorRetry = time.Second
)

// partition is this host's part in one partition.
type partition struct {
	// epoch is the epoch under which this host is or was the owner.
	epoch uint64
	owned bool
	// serving is true once every claim of earlier owners is known, as far as it
	// can be.
	serving bool
	// anchored is true once those claims are in the own log and the anchor names it.
	anchored bool
	// kept is true while the entries of a partition that was given up are kept
	// for the next owner, keptEpoch the epoch in which they were complete.
	kept      bool
	keptEpoch uint64
	// doubtful is true if the owner before this one may have granted claims that
	// no log holds.
	doubtful      bool
	unknownBefore int64
	adopting      *adoption
}

// mayHaveForgotten reports whether an earlier owner may have granted an id
// that this one does not know.
func (p *partition) mayHaveForgotten(key string, wallMillis int64) bool {
	if p.unknownBefore == 0 || wallMillis > p.unknownBefore+(retention+retentionMargin).Milliseconds() {
		return false
	}
	return !isAfter(key, p.unknownBefore)
}

// adoption is the takeover of a partition.
type adoption struct {
	partition int
	ownership fleet.Partition
	started   machine.Instant
	asked     machine.Instant

	anchor     anchor
	anchorSeen stored
	hasAnchor  bool
	// importing is true once the claims are known and being written.
	importing bool
	reading   bool
	// overtaken is true if the anchor names an owner of a later epoch.
	overtaken bool

	// tenure is the earlier epoch whose claims are asked for.
	tenure   uint64
	chunks   map[uint32]HandoverChunk
	handover bool
	// unserved is true if the previous owner said that it granted nothing.
	unserved bool
}

// rememberedOwners is the number of owners of a partition that are remembered.
const rememberedOwners = 16

// noteOwners remembers who owned each partition.
func (m *Machine) noteOwners() {
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
		if v.Epoch > rememberedOwners {
			delete(owners, v.Epoch-rememberedOwners)
		}
	}
}

// updatePartitions follows the ownership in a new view.
func (m *Machine) updatePartitions() {
	for i := range m.partitions {
		p := &m.partitions[i]
		v := m.view.Partitions[i]
		owns := v.Owner == m.o.Self
		if p.owned && (!owns || v.Epoch != p.epoch) {
			m.giveUp(i)
		}
		if owns && !p.owned {
			p.owned = true
			p.epoch = v.Epoch
			p.doubtful = v.PreviousUncommitted
			p.adopting = &adoption{partition: i, ownership: v, tenure: v.Epoch - 1, started: m.now.Instant}
			m.readAnchor(p.adopting)
		}
	}
	m.adoptPartitions()
}

// giveUp stops acting on a partition. Its claims stay for the next owner.
func (m *Machine) giveUp(i int) {
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
	p.adopting = nil
	m.mode.forgetPartition(i)
}

// dropPartition forgets all entries of a partition.
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

// allAnchored reports whether the log of this host is the one that later owners
// will read for each of its partitions.
func (m *Machine) allAnchored() bool {
	for i := range m.partitions {
		if m.partitions[i].serving && !m.partitions[i].anchored {
			return false
		}
	}
	return true
}

// current reports whether an adoption is still wanted.
func (m *Machine) current(a *adoption) bool {
	return m.partitions[a.partition].adopting == a
}

func (m *Machine) readAnchor(a *adoption) {
	m.store.read(anchorKey(a.partition), func(s stored) {
		if m.current(a) {
			m.anchorRead(a, s)
		}
	})
}

func (m *Machine) anchorRead(a *adoption, s stored) {
	a.anchorSeen = s
	a.anchor = anchor{}
	if s.Version > 0 {
		if err := decodeObject(anchorKey(a.partition), s.Value, &a.anchor); err != nil {
			m.event("claim-log-error", anchorKey(a.partition).Name, err.Error())
			m.store.after(damagedAnchorRetry, func() { m.readAnchor(a) })
			return
		}
	}
	if a.anchor.Epoch > a.ownership.Epoch {
		// A later owner has taken over already; the view will follow.
		m.partitions[a.partition].serving = false
		a.overtaken = true
		return
	}
	a.hasAnchor = true
	m.adopt(a)
}

// adoptPartitions moves every takeover on.
func (m *Machine) adoptPartitions() {
	for i := range m.partitions {
		if a := m.partitions[i].adopting; a != nil {
			m.adopt(a)
		}
	}
}

// adopt takes the next step of a takeover: the claims come from the previous
// owner if it is alive, otherwise from the log that the anchor names.
func (m *Machine) adopt(a *adoption) {
	p := &m.partitions[a.partition]
	if a.overtaken || a.importing || a.reading || m.log.sealed {
		return
	}
	if a.handover {
		if !p.serving {
			m.takeHandover(a)
		}
		if a.hasAnchor {
			m.importEntries(a)
		}
		return
	}
	waits := m.askForHandover(a)
	if a.handover {
		m.adopt(a)
		return
	}
	if waits || !a.hasAnchor {
		return
	}
	owner := a.anchor.Owner
	switch {
	case a.anchorSeen.Version == 0:
		m.startServing(a, nil, 0)
	case owner == m.o.Self:
		m.keepOwnEntries(a)
	default:
		m.readLogOf(a, owner)
	}
}

// keepOwnEntries continues with the claims of an earlier epoch, whose owner was
// this host and the last one with an anchor.
func (m *Machine) keepOwnEntries(a *adoption) {
	p := &m.partitions[a.partition]
	p.unknownBefore = m.unknownBefore(a, a.anchor.UnknownBefore)
	if p.unknownBefore > a.anchor.UnknownBefore {
		for _, e := range m.entriesOf(a.partition) {
			e.doubtRelease()
		}
	}
	m.importEntries(a)
}

// doubtRelease makes a free id unknown. A release in the log does not show that
// the id is still free if an owner granted claims that no log holds.
func (r *record) doubtRelease() {
	if r.State == stateFree {
		r.State = stateUnknown
	}
}

func (m *Machine) readLogOf(a *adoption, owner fleet.Member) {
	a.reading = true
	seal := !m.live[owner.Incarnation]
	m.readLog(owner.Incarnation, seal, func(records []record, intact bool) {
		if !m.current(a) {
			return
		}
		a.reading = false
		before := a.anchor.UnknownBefore
		if !intact {
			before = max(before, a.ownership.TakenOverMillis)
		}
		var own []record
		for _, r := range records {
			if PartitionOf(r.ID) == a.partition && r.Epoch >= a.anchor.Epoch {
				own = append(own, r)
			}
		}
		m.startServing(a, own, before)
	})
}

// unknownBefore returns the time of the last takeover from an owner that may
// have granted claims that no log holds.
func (m *Machine) unknownBefore(a *adoption, before int64) int64 {
	if a.ownership.PreviousUncommitted && !a.handover {
		before = max(before, a.ownership.TakenOverMillis)
	}
	return before
}

// startServing takes the claims of earlier owners into the table and the log.
func (m *Machine) startServing(a *adoption, records []record, before int64) {
	p := &m.partitions[a.partition]
	p.unknownBefore = m.unknownBefore(a, before)
	if p.unknownBefore > a.anchor.UnknownBefore {
		for i := range records {
			records[i].doubtRelease()
		}
	}
	m.takeRecords(a, records)
	m.importEntries(a)
}

func (m *Machine) takeRecords(a *adoption, records []record) {
	m.dropPartition(a.partition)
	m.partitions[a.partition].kept = false
	for _, r := range records {
		if !r.isExpired(m.now.WallMillis) {
			e := m.table.add(r, a.partition)
			e.Epoch = a.ownership.Epoch
		}
	}
}

// importEntries writes the claims of the partition to the own log and then
// makes the anchor name it.
func (m *Machine) importEntries(a *adoption) {
	a.importing = true
	for _, e := range sortedEntries(m.entriesOf(a.partition)) {
		e.Epoch = a.ownership.Epoch
		m.log.rewrite(e)
	}
	m.log.barrier(func() {
		if m.current(a) {
			m.writeAnchor(a)
		}
	})
}

func (m *Machine) writeAnchor(a *adoption) {
	own := anchor{Epoch: a.ownership.Epoch, Owner: m.o.Self, UnknownBefore: m.partitions[a.partition].unknownBefore}
	m.store.write(anchorKey(a.partition), a.anchorSeen.Version, encodeObject(own), func(held stored, ours bool) {
		if !m.current(a) {
			return
		}
		if !ours {
			// Another owner wrote its anchor after it was read here: its log may
			// hold claims that are missing here.
			m.restartAdoption(a, held)
			return
		}
		m.adopted(a)
	})
}

func (m *Machine) restartAdoption(a *adoption, held stored) {
	fresh := &adoption{partition: a.partition, ownership: a.ownership, tenure: a.ownership.Epoch - 1, started: a.started}
	m.partitions[a.partition].adopting = fresh
	m.partitions[a.partition].serving = false
	m.anchorRead(fresh, held)
}

// adopted ends a takeover.
func (m *Machine) adopted(a *adoption) {
	p := &m.partitions[a.partition]
	p.adopting = nil
	p.serving = true
	p.anchored = true
	p.kept = false
	for _, e := range sortedEntries(m.entriesOf(a.partition)) {
		if e.durable {
			m.entryCommitted(e)
		}
	}
	m.mode.settle()
	previous := a.ownership.Previous
	if m.live[previous.Incarnation] && previous != m.o.Self {
		m.send(previous.Host, HandoverDone{Partition: uint8(a.partition), Epoch: p.epoch})
	}
	for _, owner := range []fleet.Member{previous, a.anchor.Owner} {
		m.watchGarbage(owner)
	}
}
