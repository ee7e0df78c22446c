package configuration

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxPendingAttempts bounds the attempts that are pending on a host. Further
	// attempts are not acknowledged, so that their notes are refused.
	maxPendingAttempts = 64
	// maxResolutions bounds the resolved attempts that a host remembers.
	maxResolutions = 256
	// forwardDelay is the time after which a host forwards an announcement to members
	// that may not have received it. Most attempts are resolved earlier.
	forwardDelay = 300 * time.Millisecond
	// originTimeout is the time without a new round from the origin after which
	// other hosts resolve an attempt. The origin starts a round every announceInterval.
	originTimeout = time.Second
	// resolveStagger is added per rank, so that hosts try one after another.
	resolveStagger = 100 * time.Millisecond
	// resolveInterval is the time between attempts of one host to resolve.
	resolveInterval = time.Second
	// maxResolutionRequests bounds the members queried, besides the origin, in one try.
	maxResolutionRequests = 3
)

// pendingAttempt is an announced attempt that is not yet resolved on this host.
type pendingAttempt struct {
	announce Announce
	// firstSeen is when the attempt became known, lastActivity when its origin last
	// started a new round.
	firstSeen, lastActivity machine.Instant
	// informed holds the members known to have received the announcement.
	informed    map[fleet.Member]bool
	nextForward machine.Instant
	nextResolve machine.Instant
	tries       int
	// acceptedAs is the revision that the note created, if it was accepted; its keys
	// stay suspended until that revision is in force on this host.
	acceptedAs fleet.Revision
}

// resolutions holds the last resolved attempts; order lists them oldest first.
type resolutions struct {
	known map[Attempt]Resolved
	order []Attempt
}

func (r *resolutions) add(resolved Resolved) {
	if _, known := r.known[resolved.Attempt]; known {
		return
	}
	r.known[resolved.Attempt] = resolved
	r.order = append(r.order, resolved.Attempt)
	if len(r.order) > maxResolutions {
		delete(r.known, r.order[0])
		r.order = r.order[1:]
	}
}

func (m *Machine) findPending(attempt Attempt) *pendingAttempt {
	for _, p := range m.pending {
		if p.announce.Attempt == attempt {
			return p
		}
	}
	return nil
}

func (m *Machine) receiveAnnounce(from fleet.Member, a Announce) {
	if known, ended := m.resolved.known[a.Attempt]; ended {
		m.send(from.Host, known)
		return
	}
	p := m.findPending(a.Attempt)
	if p == nil {
		p = m.newPending(from, a)
	}
	if p == nil {
		return
	}
	p.informed[from] = true
	if a.Round > p.announce.Round {
		p.announce.Round = a.Round
		p.lastActivity = m.now.Instant
	}
	ack := AnnounceAck{Attempt: a.Attempt, Revision: m.Revision()}
	m.send(from.Host, ack)
	if a.Attempt.Origin.Host != from.Host {
		m.send(a.Attempt.Origin.Host, ack)
	}
}

// newPending adds an attempt. It returns nil if the attempt is already accepted, its
// base is stale or a limit is exceeded.
func (m *Machine) newPending(from fleet.Member, a Announce) *pendingAttempt {
	if note := m.current.head.note(a.NoteID); note != nil {
		m.send(from.Host, Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
		return nil
	}
	if a.BaseRevision < m.Revision() {
		m.send(from.Host, AnnounceAck{Attempt: a.Attempt, Refused: true, Revision: m.Revision()})
		return nil
	}
	if len(m.pending) >= maxPendingAttempts || len(a.KeyIDs) > MaxWithdrawnKeys {
		return nil
	}
	m.event(EventAnnounced, a.NoteID, "announced by %s; %d keys suspended", a.Attempt.Origin.Host, len(a.KeyIDs))
	return m.addPending(a)
}

func (m *Machine) addPending(a Announce) *pendingAttempt {
	p := &pendingAttempt{
		announce:     a,
		firstSeen:    m.now.Instant,
		lastActivity: m.now.Instant,
		informed:     map[fleet.Member]bool{a.Attempt.Origin: true},
	}
	m.pending = append(m.pending, p)
	return p
}

// receiveAck marks a member as informed and passes the acknowledgement to the job.
func (m *Machine) receiveAck(from fleet.Member, ack AnnounceAck) {
	m.recordPeerRevision(from.Host, ack.Revision)
	if p := m.findPending(ack.Attempt); p != nil && !ack.Refused {
		p.informed[from] = true
	}
	m.handleJobAck(from, ack)
}

func (m *Machine) receiveResolved(from fleet.Member, r Resolved) {
	if r.Accepted {
		m.recordPeerRevision(from.Host, r.Revision)
	}
	if m.job != nil && m.job.attempt == r.Attempt {
		// Only the store decides the outcome of this host's own attempt.
		return
	}
	m.resolve(r)
}

// resolve records the outcome of an attempt and ends it. The keys of an accepted
// note stay suspended until the revision without them is in force.
func (m *Machine) resolve(r Resolved) {
	m.resolved.add(r)
	p := m.findPending(r.Attempt)
	if p == nil {
		return
	}
	if r.Accepted && r.Revision > m.Revision() {
		p.acceptedAs = r.Revision
		return
	}
	m.event(EventResolved, p.announce.NoteID, "accepted: %v", r.Accepted)
	m.pending = slices.DeleteFunc(m.pending, func(q *pendingAttempt) bool { return q == p })
}

// resolveByRevision resolves attempts whose outcome the revision in force decides.
func (m *Machine) resolveByRevision() {
	for _, p := range slices.Clone(m.pending) {
		a := p.announce
		note := m.current.head.note(a.NoteID)
		switch {
		case note != nil:
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
		case p.acceptedAs > 0 && p.acceptedAs <= m.Revision():
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: p.acceptedAs})
		case p.acceptedAs == 0 && m.Revision() > a.BaseRevision && !m.isOwnAttempt(a.Attempt):
			m.resolve(Resolved{Attempt: a.Attempt, Revision: m.Revision()})
		}
	}
}

// isOwnAttempt reports whether this host's job is working on the attempt.
func (m *Machine) isOwnAttempt(attempt Attempt) bool {
	return m.job != nil && m.job.attempt == attempt
}

// resolveByHead resolves the attempts whose outcome follows from a read of the
// head. An attempt that isn't in the head can no longer succeed once the head's
// version differs from the one that the conditional update expects.
func (m *Machine) resolveByHead(read headRead) {
	for _, p := range slices.Clone(m.pending) {
		a := p.announce
		if m.isOwnAttempt(a.Attempt) || p.acceptedAs > 0 {
			continue
		}
		if note := read.head.note(a.NoteID); note != nil {
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
			continue
		}
		if read.started >= p.firstSeen && read.version != a.BaseVersion && read.head.Revision >= a.BaseRevision {
			r := Resolved{Attempt: a.Attempt, Revision: m.Revision()}
			m.resolve(r)
			m.broadcast(r)
		}
	}
}

func (m *Machine) tickPending() {
	for _, p := range slices.Clone(m.pending) {
		if m.isOwnAttempt(p.announce.Attempt) {
			continue
		}
		m.forward(p)
		m.tryResolve(p)
	}
}

// forward sends an announcement to members that may not have received it, so that
// every host connected to a majority suspends the keys.
func (m *Machine) forward(p *pendingAttempt) {
	if p.acceptedAs > 0 || m.now.Instant.Sub(p.firstSeen) < forwardDelay || m.now.Instant < p.nextForward {
		return
	}
	p.nextForward = m.now.Instant.Add(forwardDelay)
	for _, member := range m.others() {
		if !p.informed[member.Member] && member.Host != p.announce.Attempt.Origin.Host {
			m.send(member.Host, p.announce)
		}
	}
}

// tryResolve tries to determine the outcome of an attempt whose origin timed out.
func (m *Machine) tryResolve(p *pendingAttempt) {
	wait := originTimeout + time.Duration(m.rank())*resolveStagger
	if m.now.Instant.Sub(p.lastActivity) < wait || m.now.Instant < p.nextResolve {
		return
	}
	p.nextResolve = m.now.Instant.Add(resolveInterval)
	p.tries++
	request := ResolutionRequest{Attempt: p.announce.Attempt}
	m.send(p.announce.Attempt.Origin.Host, request)
	others := m.others()
	for i := range min(maxResolutionRequests, len(others)) {
		m.send(others[(p.tries*maxResolutionRequests+i)%len(others)].Host, request)
	}
	m.readHead(func(read headRead) { m.fence(p, read) })
}

// fence rewrites the head unchanged: the new version makes the conditional update
// of the attempt fail. It runs after resolveByHead has handled the same read.
func (m *Machine) fence(p *pendingAttempt, read headRead) {
	open := m.findPending(p.announce.Attempt) == p && p.acceptedAs == 0 && !m.isOwnAttempt(p.announce.Attempt)
	if !read.ok || !open || read.version != p.announce.BaseVersion {
		return
	}
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: read.version, Value: read.raw}
	if read.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: mustEncode(read.head)}
	}
	m.callStore(call, func(result machine.StoreResult) {
		if result.Outcome == machine.StoreOK {
			r := Resolved{Attempt: p.announce.Attempt, Revision: m.Revision()}
			m.resolve(r)
			m.broadcast(r)
			return
		}
		p.nextResolve = m.now.Instant
	})
}
