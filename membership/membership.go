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
	// after which a member counts as unreachable. Callers are sent to other hosts
	// long before its lease ends, and two lost heartbeats have no effect.
	reachableHeartbeats = 3
)

// rosterUpdateInterval is the minimum time between two updates of the roster by
// one host. It batches confirmations that arrive together into one update.
const rosterUpdateInterval = 100 * time.Millisecond

// baseMargin is the fixed part of the margin that an observer of a lease adds
// for clock drift; the other part is a hundredth of the lease duration.
const baseMargin = 100 * time.Millisecond

// Options are the parameters of a Membership.
type Options struct {
	Self          fleet.Member
	Location      fleet.Location
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	// Cell names the roster object.
	Cell string
	// LeaseDuration is T in the design document, the same on all hosts of a cell.
	LeaseDuration time.Duration
	// LeaveDelay is the time between Leave and the handover of the weight. It
	// covers callers that still have a cached answer with this host.
	LeaveDelay time.Duration
	// Rand supplies the jitter of heartbeats and store reads.
	Rand *rand.Rand
}

// Membership is the state machine of one incarnation.
type Membership struct {
	options Options
	now     machine.Now
	out     []machine.Output

	started     machine.Instant
	initialised bool
	joined      bool
	stopped     bool

	// known is the newest known roster, version its store version. Both are set
	// only from a value that is certainly in the store.
	known   *roster
	version uint64
	value   []byte // encoded form of known
	peers   map[fleet.Incarnation]*peer
	fences  map[fleet.Incarnation]*fence

	lease            machine.Instant // end of the lease of this host
	read             storeRead
	nextUnknownReply machine.Instant // earliest next answer to an unknown incarnation
	heartbeat        heartbeatTimer
	store            storeState
	maintenance      maintenanceState
	leaving          leaveState
	published        publishState
	contacts         contactState

	load        float64
	revision    fleet.Revision
	uncommitted uncommittedState
}

// peer holds what this host knows about another incarnation in the roster.
type peer struct {
	host           fleet.HostID
	sequence       uint64
	lastSeen       machine.Instant // last heartbeat received, or when the peer became known
	answeredSentAt machine.Instant // when our newest heartbeat that it answered was sent
	everSeen       bool
	// generation is the highest roster generation that the peer has confirmed.
	generation uint64
	// lease is the send time of our newest heartbeat that it acknowledged with
	// flagLease.
	lease              machine.Instant
	leaseAcked         bool
	rosterRequestedAt  machine.Instant
	load               float64
	revision           fleet.Revision
	uncommitted        bool
	draining           bool
	suspects           map[fleet.Incarnation]bool
	reportsUncommitted map[fleet.Incarnation]bool
	acknowledged       uint64 // highest sequence of ours whose lease it acknowledged
}

// fence tracks an incarnation that is being retired.
type fence struct {
	// observedAt is when this host learned of the retirement.
	observedAt machine.Instant
	// confirmedAt is when this host knew that a majority of the voters had
	// confirmed the retirement.
	confirmedAt machine.Instant
	confirmed   bool
}

// storeRead is the most recent known store read of the roster, by any member.
type storeRead struct {
	known      bool
	started    machine.Instant
	generation uint64
}

// uncommittedState tracks the announcement of uncommitted claims.
type uncommittedState struct {
	set          bool
	acknowledged bool
	since        machine.Instant
	// sequence is the first heartbeat that carries the announcement.
	sequence uint64
}

// New returns the state machine of a new incarnation. It joins the cell with
// its first ticks.
func New(options Options) *Membership {
	if options.LeaseDuration == 0 {
		options.LeaseDuration = DefaultLeaseDuration
	}
	return &Membership{
		options: options,
		peers:   map[fleet.Incarnation]*peer{},
		fences:  map[fleet.Incarnation]*fence{},
		load:    -1,
	}
}

// margin is what an observer of a lease adds to its duration.
func (m *Membership) margin() time.Duration {
	return m.options.LeaseDuration/100 + baseMargin
}

// expiryWait is how long an observer waits until a lease has certainly expired.
func (m *Membership) expiryWait() time.Duration {
	return m.options.LeaseDuration + m.margin()
}

func (m *Membership) heartbeatInterval() time.Duration {
	return m.options.LeaseDuration / heartbeatsPerLease
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
	m.heartbeat.nextAt = m.now.Instant
	m.lease = m.now.Instant
	// A store result for an earlier machine of the process must not match a call.
	m.store.id = m.options.Rand.Uint64()
}

func (m *Membership) apply(in machine.Input) {
	switch in := in.(type) {
	case machine.Tick:
		m.tick()
	case machine.Received:
		m.receive(in)
	case machine.StoreResult:
		m.receiveStoreResult(in)
	case Leave:
		m.leaving.requested = true
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
		m.contacts.configured = in.Peers
		m.publishContacts()
	}
}

func (m *Membership) tick() {
	m.updateFences()
	m.updateLease()
	m.scheduleStore()
	m.sendHeartbeats()
	m.maintainRoster()
	if !m.stopped {
		m.publishMemberChanges()
	}
}

func (m *Membership) emit(out machine.Output) {
	m.out = append(m.out, out)
}

func (m *Membership) event(kind, subject, text string) {
	m.emit(machine.Event{Kind: kind, Subject: subject, Text: text})
}

// self returns this host's entry of the known roster, or nil.
func (m *Membership) self() *entry {
	if m.known == nil {
		return nil
	}
	return m.known.find(m.options.Self.Incarnation)
}

// generation returns the generation of the known roster; 0 for none.
func (m *Membership) generation() uint64 {
	if m.known == nil {
		return 0
	}
	return m.known.Generation
}

// adopt replaces the known roster by a newer one that the store holds.
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

// checkRetired stops the machine if this incarnation is retiring or no longer in
// the known roster.
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
		m.event("left", m.options.Self.String(), "")
		m.emit(Left{})
		return true
	}
	m.event("retired", m.options.Self.String(), "the roster no longer holds this incarnation as live")
	m.emit(Retired{})
	return true
}

// updatePeers keeps one record for each other incarnation in the roster.
func (m *Membership) updatePeers() {
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Incarnation == m.options.Self.Incarnation || m.peers[e.Incarnation] != nil {
			continue
		}
		m.peers[e.Incarnation] = &peer{host: e.Host, lastSeen: m.now.Instant, answeredSentAt: m.now.Instant, load: -1}
	}
	for i := range m.peers {
		if m.known.find(i) == nil {
			delete(m.peers, i)
			delete(m.fences, i)
		}
	}
}

// confirmed returns the highest generation that an incarnation has confirmed, that
// is, has applied.
func (m *Membership) confirmed(incarnation fleet.Incarnation) uint64 {
	if incarnation == m.options.Self.Incarnation {
		return m.generation()
	}
	if p := m.peers[incarnation]; p != nil {
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

// majorityConfirmed reports whether a majority of the voters has confirmed a
// generation or a later one.
func (m *Membership) majorityConfirmed(generation uint64) bool {
	n := m.countVoters(func(e *entry) bool { return m.confirmed(e.Incarnation) >= generation })
	return n >= majority(m.known.voters())
}

// seenWithin reports whether a heartbeat of an incarnation arrived in the last d.
func (m *Membership) seenWithin(incarnation fleet.Incarnation, d time.Duration) bool {
	if incarnation == m.options.Self.Incarnation {
		return true
	}
	p := m.peers[incarnation]
	return p != nil && p.everSeen && m.now.Instant.Sub(p.lastSeen) <= d
}

// unresponsiveFor reports whether no heartbeat of an incarnation arrived for
// longer than d.
func (m *Membership) unresponsiveFor(incarnation fleet.Incarnation, d time.Duration) bool {
	if incarnation == m.options.Self.Incarnation {
		return false
	}
	p := m.peers[incarnation]
	return p != nil && m.now.Instant.Sub(p.lastSeen) > d
}
