package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// sentHeartbeatsKept is the number of heartbeats whose send times are kept.
// Acknowledgements of older ones are too old to renew the lease.
const sentHeartbeatsKept = 512

// heartbeatTimer schedules the heartbeats and records when they were sent.
type heartbeatTimer struct {
	nextAt   machine.Instant
	sequence uint64
	sent     [sentHeartbeatsKept]machine.Instant
}

// nextSequence returns the sequence number of a new heartbeat and records that
// it is sent now.
func (h *heartbeatTimer) nextSequence(now machine.Instant) uint64 {
	h.sequence++
	h.sent[h.sequence%sentHeartbeatsKept] = now
	return h.sequence
}

// sentAt returns when a heartbeat was sent.
func (h *heartbeatTimer) sentAt(sequence uint64) (machine.Instant, bool) {
	if sequence == 0 || sequence > h.sequence || sequence+sentHeartbeatsKept <= h.sequence {
		return 0, false
	}
	return h.sent[sequence%sentHeartbeatsKept], true
}

// sendHeartbeats sends the regular heartbeats when they are due.
func (m *Membership) sendHeartbeats() {
	if m.now.Instant < m.heartbeat.nextAt {
		return
	}
	interval := m.heartbeatInterval()
	m.heartbeat.nextAt = m.now.Instant.Add(interval - interval/20 + m.random(interval/10))
	if m.self() == nil {
		m.requestRosterFromContacts()
		return
	}
	m.broadcastHeartbeat(0)
}

// broadcastHeartbeat sends one heartbeat to each other member of the roster.
func (m *Membership) broadcastHeartbeat(flags uint8) {
	common := m.commonHeartbeat(flags)
	common.Sequence = m.heartbeat.nextSequence(m.now.Instant)
	for i := range m.known.Entries {
		m.sendHeartbeat(&m.known.Entries[i], common)
	}
}

// sendHeartbeatNow sends a heartbeat to one member outside the regular schedule.
func (m *Membership) sendHeartbeatNow(e *entry) {
	if m.self() == nil {
		return
	}
	common := m.commonHeartbeat(0)
	common.Sequence = m.heartbeat.nextSequence(m.now.Instant)
	m.sendHeartbeat(e, common)
}

func (m *Membership) sendHeartbeat(e *entry, h Heartbeat) {
	if e.Host == m.options.Self.Host {
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

// commonHeartbeat returns a heartbeat with the fields that are the same for all
// receivers.
func (m *Membership) commonHeartbeat(flags uint8) Heartbeat {
	if m.leaving.requested {
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
		if e.live() && m.unresponsiveFor(e.Incarnation, m.options.LeaseDuration) {
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
		m.receiveFromUnknown(from, h)
		return
	}
	if h.Sequence <= p.sequence {
		return
	}
	p.sequence = h.Sequence
	p.lastSeen = m.now.Instant
	p.everSeen = true
	p.generation = max(p.generation, h.Generation)
	p.load = decodeLoad(h.Load)
	p.uncommitted = h.Flags&flagUncommitted != 0
	p.draining = h.Flags&flagDraining != 0
	p.suspects = incarnationSet(h.Suspects)
	p.reportsUncommitted = incarnationSet(h.Uncommitted)
	if h.To == shortIncarnation(m.options.Self.Incarnation) {
		m.receiveAcknowledgement(p, h)
	}
	m.recordRevision(p, h.Revision)
	if h.Generation > m.generation() {
		m.requestRoster(p)
	}
	if h.Flags&flagReply != 0 {
		m.sendHeartbeatNow(m.known.find(from.Incarnation))
	}
}

// receiveAcknowledgement applies the acknowledgement in a peer's heartbeat.
// Times count from when the acknowledged heartbeat was sent, so that network
// delay can only shorten the lease.
func (m *Membership) receiveAcknowledgement(p *peer, h Heartbeat) {
	sent, ok := m.heartbeat.sentAt(h.Seen)
	if !ok {
		return
	}
	p.answeredSentAt = max(p.answeredSentAt, sent)
	if h.ReadAge > 0 {
		m.recordRead(sent.Add(-time.Duration(h.ReadAge-1)*time.Millisecond), h.ReadGeneration)
	}
	if h.Flags&flagLease == 0 {
		return
	}
	p.lease = max(p.lease, sent)
	p.leaseAcked = true
	p.acknowledged = max(p.acknowledged, h.Seen)
	m.checkUncommitted()
}

// receiveFromUnknown answers an incarnation that is not in the known roster.
// The side with the older roster gets the newer one.
func (m *Membership) receiveFromUnknown(from fleet.Member, h Heartbeat) {
	if m.now.Instant < m.nextUnknownReply {
		return
	}
	m.nextUnknownReply = m.now.Instant.Add(m.heartbeatInterval() / 4)
	if h.Generation > m.generation() {
		m.emit(machine.Send{To: from.Host, Message: RosterRequest{Generation: m.generation()}})
		return
	}
	m.sendRoster(from.Host)
}

// requestRoster asks a peer for its newer roster, at most once per heartbeat
// interval.
func (m *Membership) requestRoster(p *peer) {
	if p.rosterRequestedAt != 0 && m.now.Instant.Sub(p.rosterRequestedAt) < m.heartbeatInterval() {
		return
	}
	p.rosterRequestedAt = m.now.Instant
	m.emit(machine.Send{To: p.host, Message: RosterRequest{Generation: m.generation()}})
}

// requestRosterFromContacts requests the roster from all known addresses while
// this host is not in the roster. It lets the host find the roster while the
// store is unreachable.
func (m *Membership) requestRosterFromContacts() {
	if m.now.Instant.Sub(m.started) < m.heartbeatInterval() {
		return
	}
	for _, id := range m.contacts.order {
		m.emit(machine.Send{To: id, Message: RosterRequest{Generation: m.generation()}})
	}
}

func (m *Membership) sendRoster(to fleet.HostID) {
	if m.known == nil || to == m.options.Self.Host {
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
		m.sendHeartbeatNow(e)
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

func incarnationSet(incarnations []fleet.Incarnation) map[fleet.Incarnation]bool {
	if len(incarnations) == 0 {
		return nil
	}
	set := make(map[fleet.Incarnation]bool, len(incarnations))
	for _, incarnation := range incarnations {
		set[incarnation] = true
	}
	return set
}

// random returns a random duration below limit.
func (m *Membership) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.options.Rand.Int64N(int64(limit)))
}
