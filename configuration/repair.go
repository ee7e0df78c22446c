package configuration

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// repairTimeout bounds one attempt to write the head back.
const repairTimeout = 10 * time.Second

// repair is the state of writing this host's head back into a store that was
// restored to an older state, or to one where the revision has other content.
type repair struct {
	read headRead
	// base is the revision in force when the repair began.
	base     fleet.Revision
	head     *Head
	raw      []byte
	writer   *shardWriter
	updating bool
	deadline machine.Instant
}

// startRepair starts a repair, unless one is running or a peer has a higher
// revision that this host must fetch first.
func (m *Machine) startRepair(read headRead) {
	if m.repair != nil || m.targetRevision() > m.Revision() {
		return
	}
	m.event(EventRestored, headName, "the store holds revision %d, revision %d is in force; writing it back", read.head.Revision, m.Revision())
	r := &repair{
		read:     read,
		base:     m.Revision(),
		head:     m.current.head,
		raw:      m.current.raw,
		writer:   m.newShardWriter(m.current.head.Shards, m.shards),
		deadline: m.now.Instant.Add(repairTimeout),
	}
	if read.head.Revision == r.base {
		// Hosts may have either content in force, so a higher revision is needed for
		// all of them to converge.
		next := *r.head
		next.Revision++
		r.head, r.raw = &next, mustEncode(&next)
	}
	m.repair = r
}

func (m *Machine) tickRepair() {
	r := m.repair
	if r == nil {
		return
	}
	if m.now.Instant >= r.deadline || m.Revision() != r.base {
		m.endRepair()
		return
	}
	if r.updating || !r.writer.done() {
		return
	}
	r.updating = true
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: r.read.version, Value: r.raw}
	if r.read.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: r.raw}
	}
	m.callStore(call, func(result machine.StoreResult) {
		if result.Outcome == machine.StoreOK {
			m.event(EventRestored, headName, "revision %d is in the store again", r.head.Revision)
			m.adoptRepaired(r)
		}
		if m.repair == r {
			m.endRepair()
		}
	})
}

// adoptRepaired puts the content in force again under a new revision, if the
// repair assigned one.
func (m *Machine) adoptRepaired(r *repair) {
	if r.head.Revision == r.base || m.Revision() != r.base {
		return
	}
	snapshot := *m.current.snapshot
	snapshot.Revision = r.head.Revision
	snapshot.Index()
	m.adopt(r.head, r.raw, &snapshot, m.shards)
}

// endRepair ends a repair and schedules a read of the head to check the result.
func (m *Machine) endRepair() {
	m.repair.writer.stop()
	m.repair = nil
	m.startFastPolling(retryInterval)
}
