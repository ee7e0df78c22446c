package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Limits and defaults of Options.LeaseDuration.
const (
	DefaultLeaseDuration = 10 * time.Second
	MinLeaseDuration     = 3 * time.Second
	MaxLeaseDuration     = 60 * time.Second
)

// Fractions of the lease duration.
const (
	heartbeatsPerLease = 8
	readsPerLease      = 3
	// reachableHeartbeats is the number of heartbeat intervals without an answer
	// after which a member counts as unreachable. Callers are sent elsewhere long
	// before its lease ends; two lost heartbeats change nothing.
	reachableHeartbeats = 3
)

// dutyInterval is the shortest time between two updates of the roster by one
// host. It lets confirmations that arrive together go into one update.
const dutyInterval = 100 * time.Millisecond

// marginFloor is the fixed part of the margin that a waiting side adds for the
// drift of clocks; the other part is a hundredth of the lease.
const marginFloor = 100 * time.Millisecond

// Options are the parameters of a Membership.
type Options struct {
	Self          fleet.Member
	Location      fleet.Location
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	// Cell names the roster object.
	Cell string
	// LeaseDuration is T of the design page, the same on all hosts of a cell.
	LeaseDuration time.Duration
	// LeaveDelay is the time between Leave and the hand-over of the weight. It
	// covers callers that still hold an answer naming this host.
	LeaveDelay time.Duration
	// Rand spreads heartbeats and store reads of different hosts.
	Rand *rand.Rand
}

// Membership is the state machine of one incarnation.
type Membership struct {
	o   Options
	now machine.Now
	out []machine.Output

	started     machine.Instant
	initialised bool
	joined      bool
	stopped     bool

	// known is the newest roster, version its store version. Both change only
	// with what the store holds for certain.
	known   *roster
	version uint64
	value   []byte // encoded form of known
	peers   map[fleet.Incarnation]*peer
	fences  map[fleet.Incarnation]*fence

	lease     machine.Instant
	read      readMark
	stranger  machine.Instant
	heartbeat heartbeatTimer
	store     storeState
	duty      dutyState
	leaving   leaveState
	published publishState
	contacts  contactState

	load        float64
	revision    fleet.Revision
	uncommitted uncommittedState
}

// peer is what this host knows of another incarnation in the roster.
type peer struct {
	host      fleet.HostID
	sequence  uint64
	heard     machine.Instant // last heartbeat, or when the peer became known
	answered  machine.Instant // last heartbeat that answers one of ours
	everHeard bool
	// generation is the highest roster generation that the peer applies.
	generation uint64
	// lease is when the newest heartbeat whose lease it acknowledged was sent.
	lease        machine.Instant
	leased       bool
	requested    machine.Instant
	load         float64
	revision     fleet.Revision
	uncommitted  bool
	draining     bool
	suspects     map[fleet.Incarnation]bool
	remembers    map[fleet.Incarnation]bool
	acknowledged uint64 // highest sequence of ours that it acknowledged with our lease
}

// fence follows an incarnation that is being retired.
type fence struct {
	// marked is when this host learned of the mark in the roster.
	marked machine.Instant
	// agreed is when a majority of voters was known to know the mark.
	agreed    machine.Instant
	hasAgreed bool
}

// readMark is the freshest store read of the roster that is known.
type readMark struct {
	known      bool
	started    machine.Instant
	generation uint64
}

// uncommittedState follows the announcement of uncommitted claims.
type uncommittedState struct {
	set          bool
	acknowledged bool
	since        machine.Instant
	// sequence is the first heartbeat that carries the announcement.
	sequence uint64
}

// New returns the state machine of a new incarnation. It joins the cell with
// its first ticks.
func New(o Options) *Membership {
	if o.LeaseDuration == 0 {
		o.LeaseDuration = DefaultLeaseDuration
	}
	return &Membership{
		o:      o,
		peers:  map[fleet.Incarnation]*peer{},
		fences: map[fleet.Incarnation]*fence{},
		load:   -1,
	}
}

// margin is what a waiting side adds to a lease duration.
func (m *Membership) margin() time.Duration {
	return m.o.LeaseDuration/100 + marginFloor
}

// wait is how long the effects of a lease last for an observer.
func (m *Membership) wait() time.Duration {
	return m.o.LeaseDuration + m.margin()
}

func (m *Membership) heartbeatInterval() time.Duration {
	return m.o.LeaseDuration / heartbeatsPerLease
}

// Step applies one input.
func (m *Membership) Step(now machine.Now, in machine.Input) []machine.Output {
	m.now = now
	m.out = nil
	if m.stopped {
		return nil
	}
	if !m.initialised {
		m.initialise()
	}
	m.apply(in)
	return m.out
}

func (m *Membership) initialise() {
	m.initialised = true
	m.started = m.now.Instant
	m.heartbeat.next = m.now.Instant
	m.lease = m.now.Instant
	// A result for an earlier machine of the process must not match a call.
	m.store.id = m.o.Rand.Uint64()
}

func (m *Membership) apply(in machine.Input) {
	switch in := in.(type) {
	case machine.Tick:
		m.tick()
	case machine.Received:
		m.receive(in)
	case machine.StoreResult:
		m.storeResult(in)
	case Leave:
		m.leaving.asked = true
	case SetLoad:
		m.load = in.Load
	case SetRevision:
		m.revision = max(m.revision, in.Revision)
	case SetUncommitted:
		m.setUncommitted(in.Since)
	case ClearUncommitted:
		m.uncommitted = uncommittedState{}
	case PlatformHosts:
		m.setPlatformHosts(in)
	case PeerAddresses:
		m.contacts.settings = in.Peers
		m.publishContacts()
	}
}

func (m *Membership) tick() {
	m.updateFences()
	m.updateLease()
	m.scheduleStore()
	m.sendHeartbeats()
	m.performDuties()
	if !m.stopped {
		m.publishSoftChanges()
	}
}

func (m *Membership) emit(out machine.Output) {
	m.out = append(m.out, out)
}

func (m *Membership) event(kind, subject, text string) {
	m.emit(machine.Event{Kind: kind, Subject: subject, Text: text})
}

// self returns the own entry of the known roster, or nil.
func (m *Membership) self() *entry {
	if m.known == nil {
		return nil
	}
	return m.known.find(m.o.Self.Incarnation)
}

// generation returns the generation of the known roster; 0 for none.
func (m *Membership) generation() uint64 {
	if m.known == nil {
		return 0
	}
	return m.known.Generation
}

// adopt makes a roster that the store holds the known one.
func (m *Membership) adopt(r *roster, version uint64, value []byte) {
	if m.known != nil && r.Generation <= m.known.Generation {
		return
	}
	m.known = r
	m.version = version
	m.value = value
	m.updatePeers()
	m.updateFences()
	m.publishContacts()
	if m.checkRetired() {
		return
	}
	m.publishView()
	m.updateLease()
}

// checkRetired stops the machine if the known roster says that this
// incarnation is gone.
func (m *Membership) checkRetired() bool {
	self := m.self()
	if self != nil && self.State != stateRetiring {
		m.joined = true
		return false
	}
	if self == nil && !m.joined {
		return false
	}
	m.endLease()
	m.publishView()
	m.stopped = true
	if m.leaving.fenced {
		m.event("left", m.o.Self.String(), "")
		m.emit(Left{})
		return true
	}
	m.event("retired", m.o.Self.String(), "the roster no longer holds this incarnation as live")
	m.emit(Retired{})
	return true
}

// updatePeers keeps one record for each other incarnation in the roster.
func (m *Membership) updatePeers() {
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Incarnation == m.o.Self.Incarnation || m.peers[e.Incarnation] != nil {
			continue
		}
		m.peers[e.Incarnation] = &peer{host: e.Host, heard: m.now.Instant, answered: m.now.Instant, load: -1}
	}
	for i := range m.peers {
		if m.known.find(i) == nil {
			delete(m.peers, i)
			delete(m.fences, i)
		}
	}
}

// confirmed returns the highest generation that an incarnation applies.
func (m *Membership) confirmed(i fleet.Incarnation) uint64 {
	if i == m.o.Self.Incarnation {
		return m.generation()
	}
	if p := m.peers[i]; p != nil {
		return p.generation
	}
	return 0
}

// countVoters returns how many voters of the known roster satisfy a condition.
func (m *Membership) countVoters(condition func(e *entry) bool) int {
	n := 0
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Voter && condition(e) {
			n++
		}
	}
	return n
}

// majorityConfirmed reports whether a majority of voters applies a generation.
func (m *Membership) majorityConfirmed(generation uint64) bool {
	n := m.countVoters(func(e *entry) bool { return m.confirmed(e.Incarnation) >= generation })
	return n >= majority(m.known.voters())
}

// heardWithin reports whether an incarnation was heard in the last d.
func (m *Membership) heardWithin(i fleet.Incarnation, d time.Duration) bool {
	if i == m.o.Self.Incarnation {
		return true
	}
	p := m.peers[i]
	return p != nil && p.everHeard && m.now.Instant.Sub(p.heard) <= d
}

// silentFor reports whether nothing was heard of an incarnation for d.
func (m *Membership) silentFor(i fleet.Incarnation, d time.Duration) bool {
	if i == m.o.Self.Incarnation {
		return false
	}
	p := m.peers[i]
	return p != nil && m.now.Instant.Sub(p.heard) > d
}
