package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// sentHeartbeats is the number of heartbeats whose send times are kept. Answers
// to older ones are of no use for the lease.
const sentHeartbeats = 512

// heartbeatTimer spaces the heartbeats and remembers when they were sent.
type heartbeatTimer struct {
	next     machine.Instant
	sequence uint64
	sent     [sentHeartbeats]machine.Instant
}

// number returns the sequence of a new heartbeat.
func (h *heartbeatTimer) number(now machine.Instant) uint64 {
	h.sequence++
	h.sent[h.sequence%sentHeartbeats] = now
	return h.sequence
}

// sentAt returns when a heartbeat was sent.
func (h *heartbeatTimer) sentAt(sequence uint64) (machine.Instant, bool) {
	if sequence == 0 || sequence > h.sequence || sequence+sentHeartbeats <= h.sequence {
		return 0, false
	}
	return h.sent[sequence%sentHeartbeats], true
}

// sendHeartbeats sends the regular heartbeats when they are due.
func (m *Membership) sendHeartbeats() {
	if m.now.Instant < m.heartbeat.next {
		return
	}
	interval := m.heartbeatInterval()
	m.heartbeat.next = m.now.Instant.Add(interval - interval/20 + m.random(interval/10))
	if m.self() == nil {
		m.requestFromContacts()
		return
	}
	m.heartbeatAll(0)
}

// heartbeatAll sends one heartbeat to each other member of the roster.
func (m *Membership) heartbeatAll(flags uint8) {
	common := m.commonHeartbeat(flags)
	common.Sequence = m.heartbeat.number(m.now.Instant)
	for i := range m.known.Entries {
		m.sendHeartbeat(&m.known.Entries[i], common)
	}
}

// heartbeatOne sends a heartbeat to one member out of turn.
func (m *Membership) heartbeatOne(e *entry) {
	if m.self() == nil {
		return
	}
	common := m.commonHeartbeat(0)
	common.Sequence = m.heartbeat.number(m.now.Instant)
	m.sendHeartbeat(e, common)
}

func (m *Membership) sendHeartbeat(e *entry, h Heartbeat) {
	if e.Host == m.o.Self.Host {
		return
	}
	if e.State == stateRetiring && m.replacement(e) != nil {
		return
	}
	p := m.peers[e.Incarnation]
	if p == nil {
		return
	}
	h.To = shortIncarnation(e.Incarnation)
	h.Seen = p.sequence
	if m.acknowledges(e, p) {
		h.Flags |= flagLease
	}
	m.emit(machine.Send{To: e.Host, Message: h})
}

// replacement returns the live or joining entry of the same host, or nil.
func (m *Membership) replacement(e *entry) *entry {
	for i := range m.known.Entries {
		other := &m.known.Entries[i]
		if other.Host == e.Host && other.State != stateRetiring {
			return other
		}
	}
	return nil
}

// commonHeartbeat returns what is the same for all receivers.
func (m *Membership) commonHeartbeat(flags uint8) Heartbeat {
	if m.leaving.asked {
		flags |= flagDraining
	}
	if m.uncommitted.set {
		flags |= flagUncommitted
	}
	h := Heartbeat{
		Flags:      flags,
		Generation: m.known.Generation,
		ReadAge:    m.readAge(),
		Revision:   m.revision,
		Load:       encodeLoad(m.load),
	}
	if h.ReadAge > 0 {
		h.ReadGeneration = m.read.generation
	}
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.live() && m.silentFor(e.Incarnation, m.o.LeaseDuration) {
			h.Suspects = append(h.Suspects, e.Incarnation)
		}
		if p := m.peers[e.Incarnation]; p != nil && p.uncommitted {
			h.Uncommitted = append(h.Uncommitted, e.Incarnation)
		}
	}
	return h
}

func (m *Membership) receive(in machine.Received) {
	switch message := in.Message.(type) {
	case Heartbeat:
		m.receiveHeartbeat(in.From, message)
	case RosterRequest:
		if m.generation() > message.Generation {
			m.sendRoster(in.From.Host)
		}
	case RosterUpdate:
		m.receiveRoster(in.From, message)
	}
}

func (m *Membership) receiveHeartbeat(from fleet.Member, h Heartbeat) {
	p := m.peers[from.Incarnation]
	if p == nil || p.host != from.Host {
		m.receiveStranger(from, h)
		return
	}
	if h.Sequence <= p.sequence {
		return
	}
	p.sequence = h.Sequence
	p.heard = m.now.Instant
	p.everHeard = true
	p.generation = max(p.generation, h.Generation)
	p.load = decodeLoad(h.Load)
	p.uncommitted = h.Flags&flagUncommitted != 0
	p.draining = h.Flags&flagDraining != 0
	p.suspects = incarnationSet(h.Suspects)
	p.remembers = incarnationSet(h.Uncommitted)
	if h.To == shortIncarnation(m.o.Self.Incarnation) {
		m.receiveAcknowledgement(p, h)
	}
	m.noteRevision(p, h.Revision)
	if h.Generation > m.generation() {
		m.requestRoster(p)
	}
	if h.Flags&flagReply != 0 {
		m.heartbeatOne(m.known.find(from.Incarnation))
	}
}

// receiveAcknowledgement uses what a heartbeat says of this host's heartbeats.
// Times count from before the own heartbeat that it answers was sent, so that
// delay only shortens the lease.
func (m *Membership) receiveAcknowledgement(p *peer, h Heartbeat) {
	sent, ok := m.heartbeat.sentAt(h.Seen)
	if !ok {
		return
	}
	p.answered = max(p.answered, sent)
	if h.ReadAge > 0 {
		m.noteRead(sent.Add(-time.Duration(h.ReadAge-1)*time.Millisecond), h.ReadGeneration)
	}
	if h.Flags&flagLease == 0 {
		return
	}
	p.lease = max(p.lease, sent)
	p.leased = true
	p.acknowledged = max(p.acknowledged, h.Seen)
	m.checkUncommitted()
}

// receiveStranger answers an incarnation that is not in the known roster: one
// of the two rosters is old.
func (m *Membership) receiveStranger(from fleet.Member, h Heartbeat) {
	if m.now.Instant < m.stranger {
		return
	}
	m.stranger = m.now.Instant.Add(m.heartbeatInterval() / 4)
	if h.Generation > m.generation() {
		m.emit(machine.Send{To: from.Host, Message: RosterRequest{Generation: m.generation()}})
		return
	}
	m.sendRoster(from.Host)
}

// requestRoster asks a peer for its newer roster, at most once per heartbeat
// interval.
func (m *Membership) requestRoster(p *peer) {
	if p.requested != 0 && m.now.Instant.Sub(p.requested) < m.heartbeatInterval() {
		return
	}
	p.requested = m.now.Instant
	m.emit(machine.Send{To: p.host, Message: RosterRequest{Generation: m.generation()}})
}

// requestFromContacts asks all known addresses for a roster while the host is
// in none. It helps while the store can't be reached.
func (m *Membership) requestFromContacts() {
	if m.now.Instant.Sub(m.started) < m.heartbeatInterval() {
		return
	}
	for _, id := range m.contacts.order {
		m.emit(machine.Send{To: id, Message: RosterRequest{Generation: m.generation()}})
	}
}

func (m *Membership) sendRoster(to fleet.HostID) {
	if m.known == nil || to == m.o.Self.Host {
		return
	}
	m.emit(machine.Send{To: to, Message: RosterUpdate{Version: m.version, Value: m.value}})
}

// receiveRoster adopts a newer roster and confirms it to the sender.
func (m *Membership) receiveRoster(from fleet.Member, update RosterUpdate) {
	if m.known == nil || update.Version != m.version {
		r, err := decodeRoster(update.Value)
		if err != nil {
			m.event("roster-error", from.String(), err.Error())
			return
		}
		m.adopt(r, update.Version, update.Value)
	}
	if m.stopped {
		return
	}
	if e := m.known.find(from.Incarnation); e != nil {
		m.heartbeatOne(e)
	}
}

// pushRoster sends the known roster to all other members.
func (m *Membership) pushRoster() {
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.State != stateRetiring || m.replacement(e) == nil {
			m.sendRoster(e.Host)
		}
	}
}

func incarnationSet(list []fleet.Incarnation) map[fleet.Incarnation]bool {
	if len(list) == 0 {
		return nil
	}
	set := make(map[fleet.Incarnation]bool, len(list))
	for _, i := range list {
		set[i] = true
	}
	return set
}

// random returns a duration below the limit.
func (m *Membership) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.o.Rand.Int64N(int64(limit)))
}
