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
// to wait for them.
func (m *Machine) askForHandover(a *adoption) bool {
	previous := a.ownership.Previous
	if previous == m.o.Self || !m.live[previous.Incarnation] {
		return false
	}
	patience := handoverPatience
	if a.ownership.PreviousUncommitted {
		patience = handoverPatienceUncommitted
	}
	if a.hasAnchor && m.now.Instant.Sub(a.started) > patience {
		return false
	}
	if a.asked == 0 || m.now.Instant.Sub(a.asked) >= handoverRetry {
		a.asked = m.now.Instant
		m.send(previous.Host, HandoverRequest{Partition: uint8(a.partition), Epoch: a.ownership.Epoch})
	}
	return true
}

// receiveHandoverRequest sends the claims of a partition to its next owner. The
// view, under which this host does not act on the partition any more, was in
// force before, so the claims are final.
func (m *Machine) receiveHandoverRequest(from fleet.Member, r HandoverRequest) {
	if int(r.Partition) >= fleet.Partitions {
		return
	}
	p := &m.partitions[r.Partition]
	if p.owned || !p.kept || p.keptEpoch+1 != r.Epoch {
		return
	}
	chunk := HandoverChunk{Partition: r.Partition, Epoch: r.Epoch, To: from.Incarnation, UnknownBefore: p.unknownBefore}
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

// receiveHandoverChunk collects the claims of the previous owner.
func (m *Machine) receiveHandoverChunk(from fleet.Member, c HandoverChunk) {
	if int(c.Partition) >= fleet.Partitions || c.To != m.o.Self.Incarnation {
		return
	}
	a := m.partitions[c.Partition].adopting
	wanted := a != nil && !a.handover && !a.importing && !a.reading
	if !wanted || a.ownership.Epoch != c.Epoch || a.ownership.Previous != from {
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
