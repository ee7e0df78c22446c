package operations

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Options are the parameters of a Machine.
type Options struct {
	Self fleet.Member
	// MaxIDs limits the ids of this owner; 0 means the constant MaxIDs.
	MaxIDs int
	// MaxResultBytes limits the stored bodies; 0 means the constant MaxResultBytes.
	MaxResultBytes int
}

// Machine is the state machine of one incarnation. It owns its partitions and
// requests claims on behalf of its traffic side.
type Machine struct {
	o     Options
	now   machine.Now
	out   []machine.Output
	local []machine.Message

	view  *fleet.View
	lease machine.Instant
	// live holds the incarnations that are active or leaving in the view.
	live map[fleet.Incarnation]bool

	store      storeClient
	table      *table
	partitions [fleet.Partitions]partition
	// owners holds recent owners of each partition by epoch, as seen in views.
	owners    [fleet.Partitions]map[uint64]fleet.Member
	log       claimLog
	mode      commitMode
	requester requester
	sealing   map[fleet.Incarnation]*logReader
	lastOffer machine.Instant
	garbage   []*garbageLog
}

// New returns the state machine of a new incarnation.
func New(o Options) *Machine {
	if o.MaxIDs == 0 {
		o.MaxIDs = MaxIDs
	}
	if o.MaxResultBytes == 0 {
		o.MaxResultBytes = MaxResultBytes
	}
	m := &Machine{
		o:       o,
		live:    map[fleet.Incarnation]bool{},
		sealing: map[fleet.Incarnation]*logReader{},
		table:   newTable(o.MaxIDs, o.MaxResultBytes),
	}
	m.store = storeClient{m: m, pending: map[uint64]func(machine.StoreResult){}}
	m.log = newClaimLog(m)
	m.mode = newCommitMode(m)
	m.requester = newRequester(m)
	return m
}

// Step applies one input and returns the outputs.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.now = now
	m.out = nil
	m.apply(in)
	for len(m.local) > 0 {
		message := m.local[0]
		m.local = m.local[1:]
		m.receive(m.o.Self, message)
	}
	m.log.write()
	return m.out
}

func (m *Machine) apply(in machine.Input) {
	switch in := in.(type) {
	case machine.Tick:
		m.tick()
	case machine.Received:
		m.receive(in.From, in.Message)
	case machine.StoreResult:
		m.store.result(in)
	case machine.ViewChanged:
		m.viewChanged(in.View)
	case machine.LeaseChanged:
		m.lease = in.ValidUntil
	case Begin:
		m.requester.begin(in)
	case Finish:
		m.requester.finish(in)
	case UncommittedAcknowledged:
		m.mode.onAcknowledged(in.Since)
	}
}

func (m *Machine) tick() {
	m.store.tick()
	m.table.expire(m.now.WallMillis)
	m.expireWaiters()
	m.advanceTakeovers()
	m.offerHandovers()
	m.mode.tick()
	m.log.compact()
	m.collectGarbage()
	m.requester.tick()
}

func (m *Machine) receive(from fleet.Member, message machine.Message) {
	switch message := message.(type) {
	case Request:
		m.receiveRequest(from, message)
	case Answer:
		m.requester.receiveAnswer(message)
	case Report:
		m.receiveReport(from, message)
	case ReportAnswer:
		m.requester.receiveReportAnswer(message)
	case HandoverRequest:
		m.receiveHandoverRequest(from, message)
	case HandoverChunk:
		m.receiveHandoverChunk(from, message)
	case HandoverOffer:
		m.receiveHandoverOffer(from, message)
	case HandoverDone:
		m.receiveHandoverDone(from, message)
	}
}

func (m *Machine) viewChanged(view *fleet.View) {
	m.view = view
	clear(m.live)
	for i := range view.Members {
		member := &view.Members[i]
		if member.State == fleet.StateActive || member.State == fleet.StateLeaving {
			m.live[member.Incarnation] = true
		}
	}
	m.recordOwners()
	m.updatePartitions()
	m.answerOrphanedWaiters()
	m.requester.viewChanged()
}

// leaseValid reports whether this host may act on its view.
func (m *Machine) leaseValid() bool {
	return m.view != nil && m.now.Instant < m.lease
}

// Pending returns the number of attempts of this host that have not ended or
// whose ending is not yet durable at an owner. If a host leaves before it is 0,
// the outcome of those operations becomes unknown. Not to be called during Step.
func (m *Machine) Pending() int {
	return len(m.requester.attempts) + len(m.requester.outbox.reports)
}

func (m *Machine) emit(out machine.Output) {
	m.out = append(m.out, out)
}

func (m *Machine) event(kind, subject, text string) {
	m.emit(machine.Event{Kind: kind, Subject: subject, Text: text})
}

// send sends a message to a host. Messages to itself bypass the network.
func (m *Machine) send(to fleet.HostID, message machine.Message) {
	if to == m.o.Self.Host {
		m.local = append(m.local, message)
		return
	}
	m.emit(machine.Send{To: to, Message: message})
}
