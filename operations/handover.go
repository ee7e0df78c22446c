package operations

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

const (
	// chunkBytes is the size of the records in one message of a handover.
	chunkBytes = 256 << 10
	// offerInterval is the time between two offers to forget what was handed over.
	offerInterval = 10 * time.Second
)

// askForHandover asks a live previous owner for its claims and reports whether
// to wait for them. If that owner granted nothing, the one before it is asked;
// if no view named that one, the request goes to all hosts.
func (m *Machine) askForHandover(a *adoption) bool {
	owner, named := m.owners[a.partition][a.tenure]
	if a.unserved || named && !m.live[owner.Incarnation] {
		return false
	}
	if m.takeOwnHandover(a) {
		return false
	}
	patience := handoverPatience
	if a.ownership.PreviousUncommitted {
		patience = handoverPatienceUncommitted
	}
	if a.hasAnchor && m.now.Instant.Sub(a.started) > patience {
		return false
	}
	if a.asked != 0 && m.now.Instant.Sub(a.asked) < handoverRetry {
		return true
	}
	a.asked = m.now.Instant
	request := HandoverRequest{Partition: uint8(a.partition), Epoch: a.ownership.Epoch, Tenure: a.tenure, Named: named}
	for i := range m.view.Members {
		member := m.view.Members[i].Member
		if member != m.o.Self && m.live[member.Incarnation] && (!named || member == owner) {
			m.send(member.Host, request)
		}
	}
	return true
}

// takeOwnHandover continues with the claims of an earlier tenure of this host
// if nobody granted any after it.
func (m *Machine) takeOwnHandover(a *adoption) bool {
	p := &m.partitions[a.partition]
	if !p.kept || p.keptEpoch != a.tenure {
		return false
	}
	a.handover = true
	p.serving = true
	return true
}

// receiveHandoverRequest sends the claims of a partition to its next owner. The
// view, under which this host does not act on the partition any more, was in
// force before, so the claims are final.
func (m *Machine) receiveHandoverRequest(from fleet.Member, r HandoverRequest) {
	if int(r.Partition) >= fleet.Partitions || m.view == nil {
		return
	}
	p := &m.partitions[r.Partition]
	if p.owned || m.view.Partitions[r.Partition].Epoch < r.Epoch {
		return
	}
	if !p.kept || p.keptEpoch != r.Tenure {
		m.sendUnserved(from, r)
		return
	}
	chunk := HandoverChunk{Partition: r.Partition, Epoch: r.Epoch, Tenure: r.Tenure, To: from.Incarnation, UnknownBefore: p.unknownBefore}
	size := 0
	for _, e := range sortedEntries(m.entriesOf(int(r.Partition))) {
		if size > 0 && size+e.size() > chunkBytes {
			m.send(from.Host, chunk)
			chunk.Index++
			chunk.Records = nil
			size = 0
		}
		chunk.Records = append(chunk.Records, e.record)
		size += e.size()
	}
	chunk.Last = true
	m.send(from.Host, chunk)
}

// sendUnserved says that this host granted nothing in a tenure, if it can tell.
// It may have missed a short tenure of its own altogether.
func (m *Machine) sendUnserved(from fleet.Member, r HandoverRequest) {
	p := &m.partitions[r.Partition]
	missed := r.Named && p.epoch < r.Tenure
	if p.epoch != r.Tenure && !missed {
		return
	}
	m.send(from.Host, HandoverChunk{
		Partition: r.Partition, Epoch: r.Epoch, Tenure: r.Tenure, To: from.Incarnation,
		Unserved: true, Doubtful: missed || p.doubtful,
	})
}

// receiveUnserved turns to the tenure before one in which nothing was granted.
func (m *Machine) receiveUnserved(a *adoption, doubtful bool) {
	a.tenure--
	a.asked = 0
	if !doubtful || a.tenure == 0 {
		a.unserved = true
		a.ownership.PreviousUncommitted = false
	}
	m.adopt(a)
}

// receiveHandoverChunk collects the claims of an earlier owner.
func (m *Machine) receiveHandoverChunk(from fleet.Member, c HandoverChunk) {
	if int(c.Partition) >= fleet.Partitions || c.To != m.o.Self.Incarnation {
		return
	}
	a := m.partitions[c.Partition].adopting
	wanted := a != nil && !a.handover && !a.importing && !a.reading
	if !wanted || a.ownership.Epoch != c.Epoch || a.tenure != c.Tenure {
		return
	}
	if owner, named := m.owners[c.Partition][c.Tenure]; named && owner != from {
		return
	}
	if c.Unserved {
		m.receiveUnserved(a, c.Doubtful)
		return
	}
	if a.chunks == nil {
		a.chunks = map[uint32]HandoverChunk{}
	}
	a.chunks[c.Index] = c
	if a.complete() {
		a.handover = true
		m.adopt(a)
	}
}

// complete reports whether all chunks of a handover are there.
func (a *adoption) complete() bool {
	last, ok := a.chunks[uint32(len(a.chunks))-1]
	return ok && last.Last
}

// takeHandover serves the partition with the claims of a live previous owner.
// Until the anchor is written, claims are granted only in uncommitted mode.
func (m *Machine) takeHandover(a *adoption) {
	var records []record
	for i := range len(a.chunks) {
		chunk := a.chunks[uint32(i)]
		records = append(records, slices.DeleteFunc(slices.Clone(chunk.Records), func(r record) bool {
			return PartitionOf(r.ID) != a.partition || r.check() != ""
		})...)
	}
	p := &m.partitions[a.partition]
	p.unknownBefore = a.chunks[0].UnknownBefore
	a.chunks = map[uint32]HandoverChunk{}
	m.takeRecords(a, records)
	p.serving = true
}

// offerHandovers asks the owners of partitions whose claims are kept here
// whether they are still needed.
func (m *Machine) offerHandovers() {
	if m.view == nil || m.now.Instant.Sub(m.offered) < offerInterval {
		return
	}
	m.offered = m.now.Instant
	for i := range m.partitions {
		p := &m.partitions[i]
		owner := m.view.Partitions[i].Owner
		if p.kept && !p.owned && owner.Host != "" && owner != m.o.Self {
			m.send(owner.Host, HandoverOffer{Partition: uint8(i)})
		}
	}
}

func (m *Machine) receiveHandoverOffer(from fleet.Member, o HandoverOffer) {
	if int(o.Partition) >= fleet.Partitions {
		return
	}
	if p := &m.partitions[o.Partition]; p.owned && p.anchored {
		m.send(from.Host, HandoverDone{Partition: o.Partition, Epoch: p.epoch})
	}
}

// receiveHandoverDone forgets the claims that the next owner has in its log.
func (m *Machine) receiveHandoverDone(_ fleet.Member, d HandoverDone) {
	if int(d.Partition) >= fleet.Partitions {
		return
	}
	p := &m.partitions[d.Partition]
	if p.owned || !p.kept || d.Epoch <= p.keptEpoch {
		return
	}
	p.kept = false
	m.dropPartition(int(d.Partition))
}
