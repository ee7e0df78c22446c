package operations

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

const (
	// chunkBytes is the maximum size of the records in one HandoverChunk.
	chunkBytes = 256 << 10
	// offerInterval is the interval between offers to delete handed-over claims.
	offerInterval = 10 * time.Second
)

// requestHandover requests the claims from a live previous owner and reports
// whether to wait for them. If that owner granted nothing, the request goes to the
// owner before it, or to all hosts if that owner is unknown.
func (m *Machine) requestHandover(t *takeover) bool {
	owner, known := m.owners[t.partition][t.tenure]
	if t.unserved || known && !m.live[owner.Incarnation] {
		return false
	}
	if m.reuseKeptEntries(t) {
		return false
	}
	timeout := handoverTimeout
	if t.ownership.PreviousUncommitted {
		timeout = handoverTimeoutUncommitted
	}
	if t.hasAnchor && m.now.Instant.Sub(t.started) > timeout {
		return false
	}
	if t.requestedAt != 0 && m.now.Instant.Sub(t.requestedAt) < handoverRetryInterval {
		return true
	}
	t.requestedAt = m.now.Instant
	request := HandoverRequest{Partition: uint8(t.partition), Epoch: t.ownership.Epoch, Tenure: t.tenure, Named: known}
	for i := range m.view.Members {
		member := m.view.Members[i].Member
		if member != m.o.Self && m.live[member.Incarnation] && (!known || member == owner) {
			m.send(member.Host, request)
		}
	}
	return true
}

// reuseKeptEntries continues with the entries that this host kept from the tenure
// whose claims are requested, because no other owner has granted any claim since.
func (m *Machine) reuseKeptEntries(t *takeover) bool {
	p := &m.partitions[t.partition]
	if !p.kept || p.keptEpoch != t.tenure {
		return false
	}
	t.handover = true
	p.serving = true
	return true
}

// receiveHandoverRequest sends the claims of a partition to its next owner. They
// are final, because this host has already applied a view in which it no longer
// owns the partition.
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

// sendUnserved reports that this host granted nothing in a tenure, if it can tell.
// It may have missed a short tenure of its own because it never got that view.
func (m *Machine) sendUnserved(from fleet.Member, r HandoverRequest) {
	p := &m.partitions[r.Partition]
	missed := r.Named && p.epoch < r.Tenure
	if p.epoch != r.Tenure && !missed {
		return
	}
	m.send(from.Host, HandoverChunk{
		Partition: r.Partition, Epoch: r.Epoch, Tenure: r.Tenure, To: from.Incarnation,
		Unserved: true, Doubtful: missed || p.previousUncommitted,
	})
}

// receiveUnserved continues with the tenure before one without any grants.
func (m *Machine) receiveUnserved(t *takeover, earlierUncommitted bool) {
	t.tenure--
	t.requestedAt = 0
	if !earlierUncommitted || t.tenure == 0 {
		t.unserved = true
		t.ownership.PreviousUncommitted = false
	}
	m.advanceTakeover(t)
}

// receiveHandoverChunk collects the claims sent by an earlier owner.
func (m *Machine) receiveHandoverChunk(from fleet.Member, c HandoverChunk) {
	if int(c.Partition) >= fleet.Partitions || c.To != m.o.Self.Incarnation {
		return
	}
	t := m.partitions[c.Partition].pendingTakeover
	expecting := t != nil && !t.handover && !t.importing && !t.reading
	if !expecting || t.ownership.Epoch != c.Epoch || t.tenure != c.Tenure {
		return
	}
	if owner, known := m.owners[c.Partition][c.Tenure]; known && owner != from {
		return
	}
	if c.Unserved {
		m.receiveUnserved(t, c.Doubtful)
		return
	}
	if t.chunks == nil {
		t.chunks = map[uint32]HandoverChunk{}
	}
	t.chunks[c.Index] = c
	if t.complete() {
		t.handover = true
		m.advanceTakeover(t)
	}
}

// complete reports whether all chunks of a handover have arrived.
func (t *takeover) complete() bool {
	last, ok := t.chunks[uint32(len(t.chunks))-1]
	return ok && last.Last
}

// loadHandover starts serving the partition with the claims received from a live
// previous owner. Until the anchor is written, claims are granted only in
// uncommitted mode.
func (m *Machine) loadHandover(t *takeover) {
	var records []record
	for i := range len(t.chunks) {
		chunk := t.chunks[uint32(i)]
		records = append(records, slices.DeleteFunc(slices.Clone(chunk.Records), func(r record) bool {
			return PartitionOf(r.ID) != t.partition || r.check() != ""
		})...)
	}
	p := &m.partitions[t.partition]
	p.unknownBefore = t.chunks[0].UnknownBefore
	t.chunks = map[uint32]HandoverChunk{}
	m.replaceEntries(t, records)
	p.serving = true
}

// offerHandovers asks the current owners whether the claims that this host still
// keeps for their partitions can be deleted.
func (m *Machine) offerHandovers() {
	if m.view == nil || m.now.Instant.Sub(m.lastOffer) < offerInterval {
		return
	}
	m.lastOffer = m.now.Instant
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

// receiveHandoverDone deletes kept claims that are now in the next owner's log.
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
