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
	// fastPollInterval is the time between reads of the head while the host has no
	// configuration or the last read failed or was stale.
	fastPollInterval = time.Second
	// pollInterval is the time between reads of the head by the reachable host with
	// the lowest id in the cell. These reads find changes that all watches missed.
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
	// since is when it came into force. Reads of the store that started earlier may
	// return an older head although the store is up to date.
	since machine.Instant
}

// Machine is the configuration state machine of one host.
type Machine struct {
	self fleet.Member
	view *fleet.View
	now  machine.Now
	out  []machine.Output

	nextCall uint64
	calls    map[uint64]func(machine.StoreResult)

	current current
	// shards holds the shards of the current head, to serve peers and for repairs.
	shards shards
	// fetched holds the shards received so far for a head that isn't complete.
	fetched shards
	// peers holds the highest revision that each host recently reported.
	peers map[fleet.HostID]peerRevision
	// highest is the highest revision in peers.
	highest        fleet.Revision
	nextPeerExpiry machine.Instant
	search         headSearch
	pull           *pull

	pending  []*pendingAttempt
	resolved resolutions
	sequence uint64

	queue   []ApplyNote
	job     *job
	repair  *repair
	writers []*shardWriter

	reading   bool
	readAgain bool
	nextRead  machine.Instant
	// fastPolling is true while the head is read every fastPollInterval, because the
	// last read failed or was older than the revision in force.
	fastPolling bool
	// lastRead is the last successful read of the head.
	lastRead headRead

	published    *Snapshot
	suspended    KeySet
	hasPublished bool
}

var _ machine.Machine = (*Machine)(nil)

// New returns the state machine of a host that has no configuration yet.
func New(self fleet.Member) *Machine {
	return &Machine{
		self:     self,
		calls:    map[uint64]func(machine.StoreResult){},
		current:  current{head: &Head{}},
		lastRead: headRead{head: &Head{}},
		shards:   shards{},
		fetched:  shards{},
		peers:    map[fleet.HostID]peerRevision{},
		resolved: resolutions{known: map[Attempt]Resolved{}},
	}
}

// Revision returns the revision in force, which heartbeats carry; 0 if there is none.
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
		m.recordPeerRevision(in.Host, in.Revision)
	case HeadChanged:
		m.refreshHead()
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
	m.expirePeers()
	m.pollHead()
	for _, w := range m.writers {
		w.startWrites()
	}
	m.tickPending()
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

// callStore issues a store call; done receives its result in a later step.
func (m *Machine) callStore(call machine.StoreCall, done func(machine.StoreResult)) {
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

// broadcast sends a message to all other members of the cell.
func (m *Machine) broadcast(message machine.Message) {
	for _, member := range m.others() {
		m.send(member.Host, message)
	}
}

// rank returns the number of reachable members with a lower host id.
func (m *Machine) rank() int {
	rank := 0
	for _, member := range m.others() {
		if member.Reachable && member.Host < m.self.Host {
			rank++
		}
	}
	return rank
}

// headRead is the parsed result of a read of the head.
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

// readHead reads the head, passes the result to observe and then to done.
func (m *Machine) readHead(done func(headRead)) {
	m.callStore(machine.StoreCall{Op: machine.StoreGet, Key: HeadKey}, func(r machine.StoreResult) {
		read := m.headRead(r)
		m.observe(read)
		done(read)
	})
}

// refreshHead reads the head; a call during a read causes one more read after it.
func (m *Machine) refreshHead() {
	if m.reading {
		m.readAgain = true
		return
	}
	m.reading = true
	m.readHead(func(read headRead) {
		m.reading = false
		if !read.ok {
			m.startFastPolling(fastPollInterval)
		}
		if m.readAgain {
			m.readAgain = false
			m.refreshHead()
		}
	})
}

// startFastPolling schedules a read of the head after delay, and then every
// fastPollInterval until a read is as recent as the revision in force.
func (m *Machine) startFastPolling(delay time.Duration) {
	m.fastPolling = true
	m.nextRead = min(m.nextRead, m.now.Instant.Add(delay))
}

func (m *Machine) pollHead() {
	if m.now.Instant < m.nextRead || m.reading {
		return
	}
	if m.current.snapshot == nil {
		m.nextRead = m.now.Instant.Add(fastPollInterval)
		m.refreshHead()
		m.requestHead()
		return
	}
	if m.fastPolling {
		m.nextRead = m.now.Instant.Add(fastPollInterval)
		m.refreshHead()
		return
	}
	m.nextRead = m.now.Instant.Add(pollInterval)
	if m.rank() == 0 {
		m.refreshHead()
	}
}

// observe processes a head that the store held when the read started: it pulls a
// newer revision, starts a repair if the store holds an older revision or other
// content of the revision in force, and resolves attempts.
func (m *Machine) observe(read headRead) {
	if !read.ok {
		return
	}
	if read.started >= m.lastRead.started {
		m.lastRead = read
	}
	stale := read.head.Revision < m.current.head.Revision
	diverged := read.head.Revision == m.current.head.Revision && m.Revision() > 0 && !bytes.Equal(read.raw, m.current.raw)
	if !stale && !diverged {
		m.fastPolling = false
	}
	switch {
	case read.head.Revision > m.current.head.Revision:
		m.startPull(read.head, read.raw, "")
	case read.head.Revision == 0 && m.current.snapshot == nil:
		m.adoptEmpty(read)
	case (stale || diverged) && read.started > m.current.since:
		m.startFastPolling(fastPollInterval)
		m.startRepair(read)
	}
	m.resolveByHead(read)
}

// adoptEmpty puts the empty configuration in force, because the store holds no
// head. A host whose peers have a revision pulls that revision instead.
func (m *Machine) adoptEmpty(read headRead) {
	if m.targetRevision() > 0 {
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
	m.resolveByRevision()
}

// publish emits Published if the snapshot or the suspended keys have changed.
func (m *Machine) publish() {
	unchanged := m.hasPublished && m.published == m.current.snapshot
	if unchanged && len(m.pending) == 0 && len(m.suspended) == 0 {
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
	for _, p := range m.pending {
		for _, id := range p.announce.KeyIDs {
			keys[id] = struct{}{}
		}
	}
	return keys
}

// majority returns the number of members that form a majority of the view; 0
// without a view.
func (m *Machine) majority() int {
	if m.view == nil || len(m.view.Members) == 0 {
		return 0
	}
	return len(m.view.Members)/2 + 1
}

// acknowledged returns how many members of the current view are in acks.
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

// hostsWith returns the hosts that reported at least the given revision, highest
// revision first.
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
