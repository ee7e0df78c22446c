package freshness

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// Readers is the number of fresh readers. They are in different regions, so that one
	// remains after the loss of a region.
	Readers = 2
	// heartbeatInterval is the time between two heartbeats of a reader.
	heartbeatInterval = 500 * time.Millisecond
	// silentAfter is the time after which a reader counts as silent: two heartbeats in
	// a row were lost.
	silentAfter = 1100 * time.Millisecond
	// maxTakeoverDelay bounds the delay before a host becomes a reader because it receives
	// none. A change must be in force 2.5 s after its acknowledgement, and detecting the
	// loss of the readers takes up to 1.9 s.
	maxTakeoverDelay = 300 * time.Millisecond
	// beginTime is how long hosts wait for readers that have just begun.
	beginTime = 600 * time.Millisecond
	// handoverTime is how long the successors must be up to date before a reader ends.
	handoverTime = time.Second
	// futileTime is the time after which a reader ends that is not up to date and is not
	// among the chosen ones.
	futileTime = 2 * time.Second
	// firstStartDelay is the time from the start until a host of a fleet that starts for
	// the first time may be a reader. The hosts register one after the other, and each
	// would otherwise choose itself at first.
	firstStartDelay = 3 * time.Second
)

// Config is the configuration of a Machine.
type Config struct {
	Self fleet.Member
	// Joins is true if the fleet has been running before.
	Joins bool
}

// Machine is the state machine of the choice of fresh readers.
type Machine struct {
	self  fleet.Member
	joins bool
	// startedAt is the time of the first step.
	startedAt machine.Instant
	started   bool
	peers     []gossip.Peer
	// stored is the state of this host's copy of the store.
	stored SetCopy
	// lastHeartbeat is when each other reader last reported that it is up to date.
	lastHeartbeat map[fleet.HostID]machine.Instant

	reads bool
	// lastUpToDate is when the copy of this reader was last up to date.
	lastUpToDate machine.Instant
	lastPhase    Phase
	nextBeat     machine.Instant
	// takeoverAt is when this host becomes a reader because there is none, stepDownAt
	// when this reader ends because its successors are up to date; 0 if it doesn't.
	takeoverAt, stepDownAt machine.Instant
	// begun counts the readers that began since takeoverAt was set.
	begun     int
	takeovers uint32

	state State
	out   []machine.Output
}

var _ machine.Machine = (*Machine)(nil)

// New returns the machine of a host.
func New(c Config) *Machine {
	return &Machine{self: c.Self, joins: c.Joins, lastHeartbeat: map[fleet.HostID]machine.Instant{}}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.out = nil
	at := now.Instant
	if !m.started {
		m.started, m.startedAt = true, at
	}
	revisions, evacuations := m.state.Revisions, m.state.Evacuations
	switch in := in.(type) {
	case machine.Received:
		if h, ok := in.Message.(Heartbeat); ok {
			revisions = m.receive(at, in.From, h)
			if h.Evacuations.Position > evacuations.Position {
				evacuations = h.Evacuations
			}
		}
	case SetPeers:
		m.peers = in.Peers
	case SetCopy:
		m.stored = in
	}
	m.decide(at)
	m.sendHeartbeats(at)
	next := State{Reads: m.reads, ReaderKnown: m.readerKnown(at), Revisions: revisions, Evacuations: evacuations}
	if next.Reads != m.state.Reads || next.ReaderKnown != m.state.ReaderKnown || !slices.Equal(next.Revisions, m.state.Revisions) || !next.Evacuations.equal(m.state.Evacuations) {
		m.state = next
		m.out = append(m.out, next)
	}
	return m.out
}

// receive notes the state of another reader and returns the highest revisions.
func (m *Machine) receive(now machine.Instant, from fleet.Member, h Heartbeat) []uint64 {
	switch h.Phase {
	case UpToDate:
		m.lastHeartbeat[from.Host] = now
	case Began:
		m.begun++
		if m.takeoverAt != 0 && m.begun >= Readers {
			m.takeoverAt, m.begun = max(m.takeoverAt, now.Add(beginTime+m.takeoverDelay())), 0
		}
	default:
		delete(m.lastHeartbeat, from.Host)
	}
	return MergeRevisions(m.state.Revisions, h.Revisions)
}

// MergeRevisions returns the higher revision of each kind. It changes neither list.
func MergeRevisions(a, b []uint64) []uint64 {
	if len(a) < len(b) {
		a, b = b, a
	}
	merged := slices.Clone(a)
	for i, r := range b {
		merged[i] = max(merged[i], r)
	}
	return merged
}

// decide begins or ends this host's role.
func (m *Machine) decide(now machine.Instant) {
	for host, at := range m.lastHeartbeat {
		if now.Sub(at) >= silentAfter {
			delete(m.lastHeartbeat, host)
		}
	}
	chosen := Chosen(m.peers)
	isChosen := slices.Contains(chosen, m.self.Host)
	if m.reads {
		m.decideEnd(now, chosen, isChosen)
		return
	}
	startDelay := silentAfter
	if !m.joins {
		startDelay = firstStartDelay
	}
	age := now.Sub(m.startedAt)
	switch {
	case age < startDelay:
	case isChosen:
		m.begin(now)
	case len(m.lastHeartbeat) > 0 || !m.stored.Reachable || age < startDelay+silentAfter:
		m.takeoverAt = 0
	case m.takeoverAt == 0:
		m.takeoverAt, m.begun = now.Add(m.takeoverDelay()), 0
	case now >= m.takeoverAt:
		m.begin(now)
	}
}

func (m *Machine) begin(now machine.Instant) {
	m.reads, m.lastUpToDate = true, now
	m.takeoverAt, m.stepDownAt = 0, 0
	// What the copy was before does not count: it is read anew.
	m.stored.UpToDate = false
	m.broadcast(now, Began)
}

// decideEnd ends the role of a reader that has successors.
func (m *Machine) decideEnd(now machine.Instant, chosen []fleet.HostID, isChosen bool) {
	if m.stored.UpToDate {
		m.lastUpToDate = now
	}
	switch {
	case isChosen:
		m.stepDownAt = 0
	case now.Sub(m.lastUpToDate) >= futileTime:
		m.reads = false
		// Another host may do better.
		m.takeoverAt, m.begun = now.Add(beginTime+m.takeoverDelay()), 0
	case !m.succeeded(chosen):
		m.stepDownAt = 0
	case m.stepDownAt == 0:
		m.stepDownAt = now.Add(handoverTime)
	case now >= m.stepDownAt:
		m.reads = false
	}
}

// succeeded reports whether all chosen hosts are up to date, or as many serving hosts
// that precede this one by ID as there are readers. Hosts may disagree about who is
// chosen, but not about the order of IDs.
func (m *Machine) succeeded(chosen []fleet.HostID) bool {
	all, preceding := len(chosen) > 0, 0
	for _, id := range chosen {
		all = all && m.lastHeartbeat[id] != 0
	}
	for _, p := range m.peers {
		if p.ID < m.self.Host && !p.Leaving && m.lastHeartbeat[p.ID] != 0 {
			preceding++
		}
	}
	return all || preceding >= Readers
}

// Chosen returns the hosts that should be readers. Among the serving hosts sorted by ID,
// these are the first ones of different regions. Hosts without a sign of life don't
// count, because they may have left.
func Chosen(peers []gossip.Peer) []fleet.HostID {
	var hosts []fleet.HostID
	var regions []fleet.Region
	for _, p := range peers {
		if !p.Alive || !p.Confirmed() || p.Leaving || slices.Contains(regions, p.Location.Region) {
			continue
		}
		hosts, regions = append(hosts, p.ID), append(regions, p.Location.Region)
		if len(hosts) == Readers {
			break
		}
	}
	return hosts
}

// takeoverDelay returns a delay that is long for most hosts: of many hosts that start
// their timers together, few end them before they receive the heartbeat of the first
// one, whatever the size of the fleet (Nonnenmacher, Biersack, 1998).
func (m *Machine) takeoverDelay() time.Duration {
	m.takeovers++
	seed := binary.LittleEndian.AppendUint32([]byte(m.self.Host), m.takeovers)
	uniform := float64(xxhash.Sum64(append(seed, m.self.Incarnation[:]...))>>11+1) / (1 << 53)
	n := math.Log(float64(max(2, len(m.peers))))
	return time.Duration(float64(maxTakeoverDelay) * max(0, 1+math.Log(uniform)/n))
}

// readerKnown reports whether a reader that is up to date is known.
func (m *Machine) readerKnown(now machine.Instant) bool {
	return len(m.lastHeartbeat) > 0 || m.reads && m.stored.UpToDate
}

// sendHeartbeats sends the heartbeats of a reader.
func (m *Machine) sendHeartbeats(now machine.Instant) {
	phase := m.lastPhase
	switch {
	case m.reads && m.stored.UpToDate:
		phase = UpToDate
	case !m.reads || m.lastPhase == UpToDate:
		phase = Ended
	}
	if phase != m.lastPhase || phase == UpToDate && now >= m.nextBeat {
		m.broadcast(now, phase)
	}
}

// broadcast sends a heartbeat to all hosts that may be alive.
func (m *Machine) broadcast(now machine.Instant, phase Phase) {
	m.lastPhase, m.nextBeat = phase, now.Add(heartbeatInterval)
	for _, p := range m.peers {
		if p.ID != m.self.Host && p.Alive {
			m.out = append(m.out, machine.Send{To: p.ID, Message: Heartbeat{Phase: phase, Revisions: m.stored.Revisions, Evacuations: m.stored.Evacuations}})
		}
	}
}
