package configuration

import (
	"fmt"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// repairTimeout bounds one try to write the head back.
const repairTimeout = 10 * time.Second

// repair writes the head of this host back into a store that was restored to an
// older state.
type repair struct {
	read     headRead
	current  current
	writer   *shardWriter
	updating bool
	deadline machine.Instant
}

// startRepair begins a repair, unless one runs or a peer has a higher revision
// that this host must get first.
func (m *Machine) startRepair(read headRead) {
	if m.repair != nil || m.wanted() > m.Revision() {
		return
	}
	m.event(EventRestored, headName, "the store holds revision %d, revision %d is in force; writing it back", read.head.Revision, m.Revision())
	m.repair = &repair{
		read:     read,
		current:  m.current,
		writer:   m.newShardWriter(m.current.head.Shards, m.shards),
		deadline: m.now.Instant.Add(repairTimeout),
	}
}

func (m *Machine) tickRepair() {
	r := m.repair
	if r == nil {
		return
	}
	if m.now.Instant >= r.deadline || m.Revision() != r.current.head.Revision {
		m.endRepair()
		return
	}
	if r.updating || !r.writer.done() {
		return
	}
	r.updating = true
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: r.read.version, Value: r.current.raw}
	if r.read.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: r.current.raw}
	}
	m.store(call, func(result machine.StoreResult) {
		if result.Outcome == machine.StoreOK {
			m.event(EventRestored, headName, "revision %s is in the store again", fmt.Sprint(r.current.head.Revision))
		}
		if m.repair == r {
			m.endRepair()
		}
	})
}

// endRepair ends a repair and has the head read again to see what it came to.
func (m *Machine) endRepair() {
	m.repair.writer.stop()
	m.repair = nil
	m.readAgainSoon(retryInterval)
}
