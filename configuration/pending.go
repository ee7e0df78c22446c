package configuration

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxPendings bounds the attempts that a host holds at a time. More are not
	// acknowledged, so that their notes are refused.
	maxPendings = 64
	// maxResolutions bounds the ended attempts that a host remembers.
	maxResolutions = 256
	// forwardAfter is the time after which a host passes an announcement on to
	// members that may not have it. Most attempts end before.
	forwardAfter = 300 * time.Millisecond
	// resolveAfter is the time without a sign of work by the origin after which
	// other hosts resolve an attempt. The origin gives a sign every announceInterval.
	resolveAfter = time.Second
	// resolveStagger is added per rank, so that one host resolves at a time.
	resolveStagger = 100 * time.Millisecond
	// resolveInterval is the time between two tries of one host.
	resolveInterval = time.Second
	// maxAskedAtOnce bounds the members that are asked for a resolution in one try.
	maxAskedAtOnce = 3
)

// pending is an announced attempt that isn't resolved on this host.
type pending struct {
	announce Announce
	// first is when the attempt became known, fresh when its origin was last
	// known to work on it.
	first, fresh machine.Instant
	// knows holds the members that are known to know the attempt.
	knows       map[fleet.Member]bool
	nextForward machine.Instant
	nextResolve machine.Instant
	tries       int
	// acceptedAs is the revision that the note became; its keys stay suspended
	// until that revision is in force here.
	acceptedAs fleet.Revision
}

// resolutions remembers ended attempts, the oldest first in order.
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

func (m *Machine) findPending(attempt Attempt) *pending {
	for _, p := range m.pendings {
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
	p.knows[from] = true
	if a.Round > p.announce.Round {
		p.announce.Round = a.Round
		p.fresh = m.now.Instant
	}
	ack := AnnounceAck{Attempt: a.Attempt, Revision: m.Revision()}
	m.send(from.Host, ack)
	if a.Attempt.Origin.Host != from.Host {
		m.send(a.Attempt.Origin.Host, ack)
	}
}

// newPending takes a new attempt in, or answers it and returns nil.
func (m *Machine) newPending(from fleet.Member, a Announce) *pending {
	if note := m.current.head.note(a.NoteID); note != nil {
		m.send(from.Host, Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
		return nil
	}
	if a.BaseRevision < m.Revision() {
		m.send(from.Host, AnnounceAck{Attempt: a.Attempt, Refused: true, Revision: m.Revision()})
		return nil
	}
	if len(m.pendings) >= maxPendings || len(a.KeyIDs) > MaxWithdrawnKeys {
		return nil
	}
	m.event(EventAnnounced, a.NoteID, "announced by %s; %d keys suspended", a.Attempt.Origin.Host, len(a.KeyIDs))
	return m.addPending(a)
}

func (m *Machine) addPending(a Announce) *pending {
	p := &pending{
		announce: a,
		first:    m.now.Instant,
		fresh:    m.now.Instant,
		knows:    map[fleet.Member]bool{a.Attempt.Origin: true},
	}
	m.pendings = append(m.pendings, p)
	return p
}

// receiveAck marks a member as knowing; the job counts it too.
func (m *Machine) receiveAck(from fleet.Member, ack AnnounceAck) {
	m.heard(from.Host, ack.Revision)
	if p := m.findPending(ack.Attempt); p != nil && !ack.Refused {
		p.knows[from] = true
	}
	m.jobAck(from, ack)
}

func (m *Machine) receiveResolved(from fleet.Member, r Resolved) {
	if r.Accepted {
		m.heard(from.Host, r.Revision)
	}
	if m.job != nil && m.job.attempt == r.Attempt {
		// Only the store decides about an attempt that is still being worked on.
		return
	}
	m.resolve(r)
}

// resolve ends an attempt. Suspended keys of an accepted note stay suspended
// until the revision without them is in force.
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
	m.pendings = slices.DeleteFunc(m.pendings, func(q *pending) bool { return q == p })
}

// settleByRevision resolves what the revision in force decides.
func (m *Machine) settleByRevision() {
	for _, p := range slices.Clone(m.pendings) {
		a := p.announce
		note := m.current.head.note(a.NoteID)
		switch {
		case note != nil:
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
		case p.acceptedAs > 0 && p.acceptedAs <= m.Revision():
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: p.acceptedAs})
		case p.acceptedAs == 0 && m.Revision() > a.BaseRevision && !m.working(a.Attempt):
			m.resolve(Resolved{Attempt: a.Attempt, Revision: m.Revision()})
		}
	}
}

// working reports whether the attempt belongs to the job of this host.
func (m *Machine) working(attempt Attempt) bool {
	return m.job != nil && m.job.attempt == attempt
}

// settle resolves what a read of the head decides. An attempt that isn't in the
// head can't succeed any more once the head has another version than the one
// that its update depends on.
func (m *Machine) settle(read headRead) {
	for _, p := range slices.Clone(m.pendings) {
		a := p.announce
		if m.working(a.Attempt) || p.acceptedAs > 0 {
			continue
		}
		if note := read.head.note(a.NoteID); note != nil {
			m.resolve(Resolved{Attempt: a.Attempt, Accepted: true, Revision: note.Revision})
			continue
		}
		if read.started >= p.first && read.version != a.BaseVersion && read.head.Revision >= a.BaseRevision {
			r := Resolved{Attempt: a.Attempt, Revision: m.Revision()}
			m.resolve(r)
			m.broadcast(r)
		}
	}
}

func (m *Machine) tickPendings() {
	for _, p := range slices.Clone(m.pendings) {
		if m.working(p.announce.Attempt) {
			continue
		}
		m.forward(p)
		m.tryResolve(p)
	}
}

// forward passes an announcement on to members that may not know it, so that
// every host connected to a majority suspends the keys.
func (m *Machine) forward(p *pending) {
	if p.acceptedAs > 0 || m.now.Instant.Sub(p.first) < forwardAfter || m.now.Instant < p.nextForward {
		return
	}
	p.nextForward = m.now.Instant.Add(forwardAfter)
	for _, member := range m.others() {
		if !p.knows[member.Member] && member.Host != p.announce.Attempt.Origin.Host {
			m.send(member.Host, p.announce)
		}
	}
}

// tryResolve finds out how an attempt ended whose origin gives no sign of work.
func (m *Machine) tryResolve(p *pending) {
	wait := resolveAfter + time.Duration(m.rank())*resolveStagger
	if m.now.Instant.Sub(p.fresh) < wait || m.now.Instant < p.nextResolve {
		return
	}
	p.nextResolve = m.now.Instant.Add(resolveInterval)
	p.tries++
	request := ResolutionRequest{Attempt: p.announce.Attempt}
	m.send(p.announce.Attempt.Origin.Host, request)
	others := m.others()
	for i := range min(maxAskedAtOnce, len(others)) {
		m.send(others[(p.tries*maxAskedAtOnce+i)%len(others)].Host, request)
	}
	m.readHead(func(read headRead) { m.fence(p, read) })
}

// fence makes an attempt impossible by writing the head unchanged. It runs
// after settle has looked at the same read.
func (m *Machine) fence(p *pending, read headRead) {
	open := m.findPending(p.announce.Attempt) == p && p.acceptedAs == 0 && !m.working(p.announce.Attempt)
	if !read.ok || !open || read.version != p.announce.BaseVersion {
		return
	}
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: read.version, Value: read.raw}
	if read.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: mustEncode(read.head)}
	}
	m.store(call, func(result machine.StoreResult) {
		if result.Outcome == machine.StoreOK {
			r := Resolved{Attempt: p.announce.Attempt, Revision: m.Revision()}
			m.resolve(r)
			m.broadcast(r)
			return
		}
		p.nextResolve = m.now.Instant
	})
}
