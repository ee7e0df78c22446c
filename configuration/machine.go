package configuration

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// startReadInterval is the time between reads of the head while the host has
	// no configuration.
	startReadInterval = time.Second
	// pollInterval is the time between reads of the head by the first reachable
	// host of the cell. It finds what every watch missed.
	pollInterval = 10 * time.Second
)

// The kinds of event of this package.
const (
	EventAccepted  = "configuration-accepted"
	EventRefused   = "configuration-refused"
	EventAnnounced = "configuration-announced"
	EventResolved  = "configuration-resolved"
	EventInForce   = "configuration-in-force"
	EventRestored  = "configuration-store-restored"
	EventMalformed = "configuration-malformed"
)

// current is the configuration in force on this host.
type current struct {
	head *Head
	raw  []byte
	// snapshot is nil until the host has a configuration.
	snapshot *Snapshot
	// since is when it came into force. Reads of the store that started before
	// may be older without the store being wrong.
	since machine.Instant
}

// Machine is the state machine of the configuration of one host.
type Machine struct {
	self fleet.Member
	view *fleet.View
	now  machine.Now
	out  []machine.Output

	nextCall uint64
	calls    map[uint64]func(machine.StoreResult)

	current current
	// shards holds the shards of the current head, for peers and repairs.
	shards shards
	// fetched holds shards that arrived for a head that isn't complete.
	fetched shards
	// peers holds the highest revision that each host was heard to have of late.
	peers map[fleet.HostID]heardRevision
	// highest is the highest revision in peers.
	highest    fleet.Revision
	nextForget machine.Instant
	search     headSearch
	pull       *pull

	pendings []*pending
	resolved resolutions
	sequence uint64

	waiting []ApplyNote
	job     *job
	repair  *repair
	writers []*shardWriter

	reading   bool
	readAgain bool
	nextRead  machine.Instant
	// readSoon is true while the last read failed or showed an older revision than
	// the one in force. The head is then read every startReadInterval.
	readSoon bool
	// lastRead is the last successful read of the head.
	lastRead headRead

	published    *Snapshot
	suspended    KeySet
	hasPublished bool
}

var _ machine.Machine = (*Machine)(nil)

// New returns the machine of a host that has no configuration yet.
func New(self fleet.Member) *Machine {
	return &Machine{
		self:     self,
		calls:    map[uint64]func(machine.StoreResult){},
		current:  current{head: &Head{}},
		lastRead: headRead{head: &Head{}},
		shards:   shards{},
		fetched:  shards{},
		peers:    map[fleet.HostID]heardRevision{},
		resolved: resolutions{known: map[Attempt]Resolved{}},
	}
}

// Revision returns the revision in force; 0 if there is none. Heartbeats carry it.
func (m *Machine) Revision() fleet.Revision { return m.current.head.Revision }

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.now = now
	m.out = nil
	switch in := in.(type) {
	case machine.Tick:
		m.tick()
	case machine.Received:
		m.receive(in.From, in.Message)
	case machine.StoreResult:
		if done, ok := m.calls[in.ID]; ok {
			delete(m.calls, in.ID)
			done(in)
		}
	case machine.ViewChanged:
		m.view = in.View
	case PeerRevision:
		m.heard(in.Host, in.Revision)
	case HeadChanged:
		m.readForChange()
	case HeadRead:
		m.observe(m.headRead(in.Result))
	case ApplyNote:
		m.enqueue(in)
	}
	m.advanceJob()
	m.advancePull()
	m.publish()
	return m.out
}

func (m *Machine) tick() {
	m.forgetPeers()
	m.pollHead()
	for _, w := range m.writers {
		w.pump()
	}
	m.tickPendings()
	m.tickRepair()
}

func (m *Machine) receive(from fleet.Member, message machine.Message) {
	switch msg := message.(type) {
	case Announce:
		m.receiveAnnounce(from, msg)
	case AnnounceAck:
		m.receiveAck(from, msg)
	case Resolved:
		m.receiveResolved(from, msg)
	case ResolutionRequest:
		if known, ok := m.resolved.known[msg.Attempt]; ok {
			m.send(from.Host, known)
		}
	case HeadRequest:
		m.send(from.Host, HeadAnswer{Head: m.current.raw})
	case HeadAnswer:
		m.receiveHead(from, msg)
	case ShardRequest:
		m.answerShards(from, msg)
	case ShardAnswer:
		m.receiveShard(msg)
	}
}

func (m *Machine) send(to fleet.HostID, message machine.Message) {
	m.out = append(m.out, machine.Send{To: to, Message: message})
}

func (m *Machine) event(kind, subject, format string, args ...any) {
	m.out = append(m.out, machine.Event{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// store asks for a store call and calls done with its result in a later step.
func (m *Machine) store(call machine.StoreCall, done func(machine.StoreResult)) {
	m.nextCall++
	call.ID = m.nextCall
	m.calls[call.ID] = done
	m.out = append(m.out, call)
}

// others returns the members of the cell except this host.
func (m *Machine) others() []fleet.ViewMember {
	if m.view == nil {
		return nil
	}
	others := make([]fleet.ViewMember, 0, len(m.view.Members))
	for _, member := range m.view.Members {
		if member.Host != m.self.Host {
			others = append(others, member)
		}
	}
	return others
}

// broadcast sends a message to all other members.
func (m *Machine) broadcast(message machine.Message) {
	for _, member := range m.others() {
		m.send(member.Host, message)
	}
}

// rank returns the position of this host among the members that it can reach.
func (m *Machine) rank() int {
	rank := 0
	for _, member := range m.others() {
		if member.Reachable && member.Host < m.self.Host {
			rank++
		}
	}
	return rank
}

// headRead is the result of a read of the head.
type headRead struct {
	ok      bool
	head    *Head
	raw     []byte
	version uint64
	started machine.Instant
}

// absent reports whether the store holds no head.
func (r *headRead) absent() bool { return r.version == 0 }

func (m *Machine) headRead(r machine.StoreResult) headRead {
	read := headRead{version: r.Version, raw: r.Value, started: r.Started, head: &Head{}}
	switch r.Outcome {
	case machine.StoreOK:
		head, err := decodeHead(r.Value)
		if err != nil {
			m.event(EventMalformed, headName, "%v", err)
			return read
		}
		read.head = head
		read.ok = true
	case machine.StoreNotFound:
		read.version, read.raw = 0, nil
		read.ok = true
	}
	return read
}

// readHead reads the head and calls done after the machine has observed it.
func (m *Machine) readHead(done func(headRead)) {
	m.store(machine.StoreCall{Op: machine.StoreGet, Key: HeadKey}, func(r machine.StoreResult) {
		read := m.headRead(r)
		m.observe(read)
		done(read)
	})
}

// readForChange reads the head, one read at a time.
func (m *Machine) readForChange() {
	if m.reading {
		m.readAgain = true
		return
	}
	m.reading = true
	m.readHead(func(read headRead) {
		m.reading = false
		if !read.ok {
			m.readAgainSoon(startReadInterval)
		}
		if m.readAgain {
			m.readAgain = false
			m.readForChange()
		}
	})
}

// readAgainSoon has the head read after a pause, and every startReadInterval
// until a read shows at least the revision in force.
func (m *Machine) readAgainSoon(pause time.Duration) {
	m.readSoon = true
	m.nextRead = min(m.nextRead, m.now.Instant.Add(pause))
}

func (m *Machine) pollHead() {
	if m.now.Instant < m.nextRead || m.reading {
		return
	}
	if m.current.snapshot == nil {
		m.nextRead = m.now.Instant.Add(startReadInterval)
		m.readForChange()
		m.askForHead()
		return
	}
	if m.readSoon {
		m.nextRead = m.now.Instant.Add(startReadInterval)
		m.readForChange()
		return
	}
	m.nextRead = m.now.Instant.Add(pollInterval)
	if m.rank() == 0 {
		m.readForChange()
	}
}

// observe takes notice of a head that the store held when the read started.
func (m *Machine) observe(read headRead) {
	if !read.ok {
		return
	}
	if read.started >= m.lastRead.started {
		m.lastRead = read
	}
	older := read.head.Revision < m.current.head.Revision
	other := read.head.Revision == m.current.head.Revision && m.Revision() > 0 && !bytes.Equal(read.raw, m.current.raw)
	if !older && !other {
		m.readSoon = false
	}
	switch {
	case read.head.Revision > m.current.head.Revision:
		m.startPull(read.head, read.raw, "")
	case read.head.Revision == 0 && m.current.snapshot == nil:
		m.adoptEmpty(read)
	case (older || other) && read.started > m.current.since:
		m.readAgainSoon(startReadInterval)
		m.startRepair(read)
	}
	m.settle(read)
}

// adoptEmpty puts the empty configuration in force: the store holds none. A
// host that hears of a higher revision pulls that one instead.
func (m *Machine) adoptEmpty(read headRead) {
	if m.wanted() > 0 {
		return
	}
	snapshot := &Snapshot{}
	snapshot.Index()
	m.current.snapshot = snapshot
	m.current.since = m.now.Instant
}

// adopt puts a revision in force if it is higher than the current one.
func (m *Machine) adopt(head *Head, raw []byte, snapshot *Snapshot, parts shards) {
	if head.Revision <= m.current.head.Revision {
		return
	}
	m.current = current{head: head, raw: raw, snapshot: snapshot, since: m.now.Instant}
	m.shards = parts
	m.fetched = shards{}
	m.event(EventInForce, fmt.Sprint(head.Revision), "revision %d in force", head.Revision)
	if m.pull != nil && m.pull.head.Revision <= head.Revision {
		m.pull = nil
	}
	m.settleByRevision()
}

// publish tells the traffic side if anything changed.
func (m *Machine) publish() {
	unchanged := m.hasPublished && m.published == m.current.snapshot
	if unchanged && len(m.pendings) == 0 && len(m.suspended) == 0 {
		return
	}
	suspended := m.suspendedKeys()
	if unchanged && maps.Equal(suspended, m.suspended) {
		return
	}
	m.hasPublished, m.published, m.suspended = true, m.current.snapshot, suspended
	m.out = append(m.out, Published{Snapshot: m.published, Suspended: suspended})
}

func (m *Machine) suspendedKeys() KeySet {
	keys := KeySet{}
	for _, p := range m.pendings {
		for _, id := range p.announce.KeyIDs {
			keys[id] = struct{}{}
		}
	}
	return keys
}

// majority returns the number of members that make a majority of the roster;
// 0 without a roster.
func (m *Machine) majority() int {
	if m.view == nil || len(m.view.Members) == 0 {
		return 0
	}
	return len(m.view.Members)/2 + 1
}

// acknowledged counts the members of the current view that are in a set.
func (m *Machine) acknowledged(acks map[fleet.Member]bool) int {
	if m.view == nil {
		return 0
	}
	count := 0
	for _, member := range m.view.Members {
		if acks[member.Member] {
			count++
		}
	}
	return count
}

// hostsWith returns the hosts that were heard to have at least a revision, the
// highest first.
func (m *Machine) hostsWith(revision fleet.Revision) []fleet.HostID {
	var hosts []fleet.HostID
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[id].revision >= revision && id != m.self.Host {
			hosts = append(hosts, id)
		}
	}
	slices.SortStableFunc(hosts, func(a, b fleet.HostID) int {
		return cmp.Compare(m.peers[b].revision, m.peers[a].revision)
	})
	return hosts
}
