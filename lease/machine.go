package lease

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// Duration is the time for which a host holds its parts after the last moment at which
	// it knows that it held them. A fresh reader knows a state that is up to 3.3 s old, and
	// finding another reader takes 2 s. The part of a lost host must be in use again within
	// the 15 s that the platform allows a replaced fleet.
	Duration = 7 * time.Second
	// clockMargin is what a host that waits for the end of another's lease adds to it for
	// the drift of the clocks.
	clockMargin = Duration/100 + 100*time.Millisecond
	// Wait is how long a host waits before it assumes that no other one has a lease by an earlier
	// state of the store than the one that it has read itself.
	Wait = Duration + clockMargin
	// EraDelay is how long after it has learned that the store came back from an older copy a
	// host assumes that another one uses a part by a lease that began before. It covers the
	// time until most hosts have learned of it, which then no longer confirm each other.
	EraDelay = Wait + 3*time.Second
	// startTime is how long a process that has just started waits for a host that knows when
	// the era of the store began. Without one it goes on: all have just started. It needs no
	// longer than minStartTime if most of the listed hosts say so.
	startTime    = time.Second
	minStartTime = 300 * time.Millisecond
	// askInterval is the time between two questions to a fresh reader.
	askInterval = time.Second
	// readerFreshFor is the time after its last read for which a fresh reader asks nobody.
	readerFreshFor = 2500 * time.Millisecond
	// votesAfter is the age of the last confirmation from the store from which on other
	// hosts are asked. voteInterval is the time between two rounds, and voteRounds the
	// number of rounds in which all hosts are asked once.
	votesAfter   = 3 * time.Second
	voteInterval = 250 * time.Millisecond
	voteRounds   = 12
	// minVoters is the smallest number of listed hosts of which most can confirm a host. Of
	// fewer, most may well be cut off.
	minVoters = 3
	// askTimeout is the time after which an answer is ignored.
	askTimeout = 2 * time.Second
	// maxParts bounds the parts that one host holds, and so the size of a question.
	maxParts = 64
)

// Machine is the state machine of the lease of one host.
type Machine struct {
	self    fleet.Member
	entries []catalog.Host
	// registered has the indexes of entries by their Registered.
	registered map[uint64]int
	// held are the entries of which this host holds the parts.
	held  []catalog.Host
	peers []gossip.Peer
	// era is that of the store in which the entries were read, and notBefore when a lease may
	// begin in it.
	era       uint64
	notBefore machine.Instant
	// startedAt is when the first entries were read, eraAt when this host learned of an era
	// after that; 0 before. sharesFrom is that of State.
	startedAt, eraAt, sharesFrom machine.Instant
	// starting are the hosts that have just started too, as they say.
	starting map[fleet.HostID]bool
	// joins is true if the fleet has been running before.
	joins   bool
	version SetVersion
	// entriesReadAt and configurationReadAt are when the last reads of the latest state of
	// each were sent, provenAt is the last time at which this host is known to have held its
	// parts by the store's latest state; 0 before.
	entriesReadAt, configurationReadAt, provenAt machine.Instant
	// votes has the time of the last question that each host has confirmed.
	votes map[fleet.HostID]machine.Instant

	sequence          uint64
	asked             map[uint64]question
	nextAsk, nextVote machine.Instant
	// nextReader and nextPeer rotate the hosts that are asked.
	nextReader, nextPeer int

	watched map[fleet.HostID]*watchedEntry
	// nextChanges is when the changes are computed again if no entry changes.
	nextChanges machine.Instant
	state       State
	out         []machine.Output
}

type question struct {
	to fleet.HostID
	at machine.Instant
}

var _ machine.Machine = (*Machine)(nil)

// Config is the configuration of a Machine.
type Config struct {
	Self fleet.Member
	// Joins is true if the fleet has been running before.
	Joins bool
}

// New returns the machine of a host.
func New(c Config) *Machine {
	return &Machine{
		self: c.Self, joins: c.Joins, registered: map[uint64]int{}, votes: map[fleet.HostID]machine.Instant{},
		starting: map[fleet.HostID]bool{}, asked: map[uint64]question{}, watched: map[fleet.HostID]*watchedEntry{},
	}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.out = nil
	at := now.Instant
	switch in := in.(type) {
	case machine.Tick:
		m.ask(at)
	case machine.Received:
		switch message := in.Message.(type) {
		case Ask:
			m.answer(at, in.From, message)
		case Answer:
			m.receive(at, in.From, message)
		}
	case SetEntries:
		if m.era != in.Era && m.entries != nil {
			m.beginEra(at)
		}
		m.era = in.Era
		m.setEntries(in.Entries)
		if m.startedAt == 0 {
			m.start(at)
		}
	case SetVersion:
		m.version = in
	case EntriesRead:
		m.entriesReadAt = max(m.entriesReadAt, in.Sent)
		m.prove(at)
	case ConfigurationRead:
		m.configurationReadAt = max(m.configurationReadAt, in.Sent)
		m.prove(at)
	case SetPeers:
		m.peers = in.Peers
	}
	next := State{Era: m.era, ValidUntil: m.validUntil(at), SharesFrom: m.sharesFrom, Changes: m.state.Changes}
	if at >= m.nextChanges {
		m.nextChanges = at.Add(changesInterval)
		next.Changes = m.changes(at, next.ValidUntil)
	}
	if next.Era != m.state.Era || next.SharesFrom != m.state.SharesFrom || next.ValidUntil != m.state.ValidUntil || !slices.Equal(next.Changes, m.state.Changes) {
		m.state = next
		m.out = append(m.out, next)
	}
	return m.out
}

func (m *Machine) setEntries(entries []catalog.Host) {
	m.entries, m.held, m.nextChanges = entries, nil, 0
	clear(m.registered)
	for i := range entries {
		m.registered[entries[i].Registered] = i
		if entries[i].Holder() == m.self.Host {
			m.held = append(m.held, entries[i])
		}
	}
}

// readAt returns when this host last knew the latest entries and configuration; 0 if it never
// did.
func (m *Machine) readAt() machine.Instant { return min(m.entriesReadAt, m.configurationReadAt) }

// prove notes that this host held its parts when it last read the store.
func (m *Machine) prove(now machine.Instant) {
	if now >= m.notBefore && m.holdsUnsuspected(m.self.Host, m.parts()) {
		m.provenAt = max(m.provenAt, m.readAt())
	}
}

// parts returns the Registered of the held entries.
func (m *Machine) parts() []uint64 {
	parts := make([]uint64, len(m.held))
	for i := range m.held {
		parts[i] = m.held[i].Registered
	}
	return parts
}

// holdsUnsuspected reports whether the entries name a host as holder of all parts, without
// a suspicion.
func (m *Machine) holdsUnsuspected(host fleet.HostID, parts []uint64) bool {
	for _, registered := range parts {
		i, ok := m.registered[registered]
		if !ok || m.entries[i].Holder() != host || m.entries[i].SuspectedBy != "" {
			return false
		}
	}
	return true
}

// validUntil returns the end of the lease; 0 if nothing confirms this host.
func (m *Machine) validUntil(now machine.Instant) machine.Instant {
	confirmed := max(m.provenAt, m.confirmedByMost(now))
	if confirmed == 0 {
		return 0
	}
	if now < m.notBefore {
		return m.state.ValidUntil
	}
	return max(m.state.ValidUntil, confirmed.Add(Duration))
}

// confirmedByMost returns the last time since which more than half of the listed hosts have
// answered this host, itself included; 0 if they have not.
func (m *Machine) confirmedByMost(now machine.Instant) machine.Instant {
	if len(m.votes) == 0 || now.Sub(m.provenAt) < votesAfter {
		return 0
	}
	listed := 0
	var times []machine.Instant
	for i := range m.entries {
		e := &m.entries[i]
		if e.HeldBy != "" {
			// The host is gone.
			continue
		}
		listed++
		switch at, ok := m.votes[e.ID]; {
		case e.ID == m.self.Host && e.SuspectedBy == "":
			times = append(times, now)
		case ok:
			times = append(times, at)
		}
	}
	if listed < minVoters || len(times) <= listed/2 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-1-listed/2]
}

// ask asks a fresh reader, and others while no reader confirms.
func (m *Machine) ask(now machine.Instant) {
	for sequence, q := range m.asked {
		if now.Sub(q.at) >= askTimeout {
			delete(m.asked, sequence)
		}
	}
	if m.isStarting(now) && now >= m.nextVote {
		m.nextVote = now.Add(voteInterval)
		m.askPeers(now)
	}
	if m.readAt() != 0 && now.Sub(m.readAt()) < readerFreshFor || len(m.held) == 0 && now.Sub(m.provenAt) < votesAfter {
		return
	}
	if now >= m.nextAsk {
		m.nextAsk = now.Add(askInterval)
		m.askReader(now)
	}
	if now >= m.nextVote && now.Sub(m.provenAt) >= votesAfter {
		m.nextVote = now.Add(voteInterval)
		m.askPeers(now)
	}
}

func (m *Machine) askReader(now machine.Instant) {
	readers := slices.DeleteFunc(freshness.Chosen(m.peers), func(id fleet.HostID) bool { return id == m.self.Host })
	if len(readers) == 0 {
		return
	}
	m.nextReader++
	m.send(now, readers[m.nextReader%len(readers)])
}

func (m *Machine) askPeers(now machine.Instant) {
	var alive []fleet.HostID
	for _, p := range m.peers {
		if p.Alive && p.ID != m.self.Host {
			alive = append(alive, p.ID)
		}
	}
	for range min(len(alive), len(alive)/voteRounds+1) {
		m.nextPeer++
		m.send(now, alive[m.nextPeer%len(alive)])
	}
}

func (m *Machine) send(now machine.Instant, to fleet.HostID) {
	m.sequence++
	m.asked[m.sequence] = question{to: to, at: now}
	m.out = append(m.out, machine.Send{To: to, Message: Ask{Sequence: m.sequence, Era: m.era, Version: m.version.InForce, Parts: m.parts()}})
}

func (m *Machine) answer(now machine.Instant, from fleet.Member, in Ask) {
	a := Answer{To: from.Incarnation, Sequence: in.Sequence, Confirmed: in.Era == m.era && in.Version >= m.version.Divides && len(in.Parts) <= maxParts && m.holdsUnsuspected(from.Host, in.Parts)}
	if age := now.Sub(m.readAt()); m.readAt() != 0 && age < Duration {
		a.Latest, a.AgeMillis = true, uint32(age.Milliseconds())+1
	}
	if !a.Latest && m.provenAt != 0 && now.Sub(m.provenAt) < votesAfter {
		// A fresh reader is in touch with the store and may know of later changes.
		a.Confirmed = false
	}
	switch {
	case m.eraAt != 0 && now.Sub(m.eraAt) < EraDelay:
		a.EraKnown, a.EraMillis = true, uint32(now.Sub(m.eraAt).Milliseconds())+1
	case m.startedAt != 0 && now.Sub(m.startedAt) >= EraDelay:
		a.EraKnown = true
	}
	m.out = append(m.out, machine.Send{To: from.Host, Message: a})
}

// receive notes an answer. What it confirms held at the earliest when the question was sent,
// less the age that the answer states.
func (m *Machine) receive(now machine.Instant, from fleet.Member, in Answer) {
	q, ok := m.asked[in.Sequence]
	if !ok || q.to != from.Host || in.To != m.self.Incarnation {
		return
	}
	delete(m.asked, in.Sequence)
	m.learnEra(now, q.at, from.Host, in)
	if !in.Confirmed {
		return
	}
	m.votes[from.Host] = max(m.votes[from.Host], q.at)
	if in.Latest {
		m.provenAt = max(m.provenAt, q.at.Add(-time.Duration(in.AgeMillis)*time.Millisecond))
	}
}
