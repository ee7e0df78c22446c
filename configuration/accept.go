package configuration

import (
	"bytes"
	"fmt"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxQueuedNotes bounds the notes that are queued on one host.
	maxQueuedNotes = 16
	// noteTimeout bounds the processing of one note. After that the note is
	// refused, or reported as undecided if its update may have taken effect.
	noteTimeout = 10 * time.Second
	// majorityTimeout bounds the wait for acknowledgements of an announcement.
	majorityTimeout = 2 * time.Second
	// announceInterval is the time between announcements of the same attempt.
	announceInterval = 200 * time.Millisecond
	// retryInterval is the time between attempts of a store call.
	retryInterval = 200 * time.Millisecond
	// maxUpdateAnswerAge is the age up to which the answer to an update is trusted.
	// A host that was paused for longer reads the head again: the store may have
	// been restored, and another note accepted, before the host resumed.
	maxUpdateAnswerAge = time.Second
	// maxReadAge is the same for reads of the head. It exceeds the timeout of a
	// store call.
	maxReadAge = 3 * time.Second
)

// step is the state of a job: what it waits for.
type step uint8

const (
	// stepReadScheduled waits until the next read of the head is due.
	stepReadScheduled step = iota
	// stepReading waits for the result of a read of the head.
	stepReading
	// stepCatchUp waits until a newer revision is in force on this host.
	stepCatchUp
	// stepAnnounce waits for acknowledgements by a majority and for the shard writes.
	stepAnnounce
	// stepUpdate waits for the result of the conditional update.
	stepUpdate
)

// job is the processing of one note on the host that received it.
type job struct {
	request  ApplyNote
	digest   uint64
	deadline machine.Instant
	step     step
	nextRead machine.Instant
	catchUp  fleet.Revision

	// firstBase is the snapshot to which the note was first applied. A later base
	// with a higher revision means that another note was accepted first.
	firstBase *Snapshot

	// The current attempt; its Sequence is 0 if there is none.
	attempt      Attempt
	base         headRead
	head         *Head
	raw          []byte
	snapshot     *Snapshot
	shards       shards
	writer       *shardWriter
	acks         map[fleet.Member]bool
	announcedAt  machine.Instant
	nextAnnounce machine.Instant

	// answerLost is true while the outcome of this attempt's update is unknown.
	answerLost bool
	// ambiguous is true once the head changed after an update without an answer
	// and doesn't hold the note: another host fenced the attempt, or the store was
	// restored. The note can then no longer be reported as refused.
	ambiguous bool
}

func (m *Machine) enqueue(in ApplyNote) {
	if len(m.queue) >= maxQueuedNotes {
		m.answer(in, NoteResult{Err: &BusyError{Waiting: len(m.queue)}})
		return
	}
	m.queue = append(m.queue, in)
}

func (m *Machine) answer(in ApplyNote, result NoteResult) {
	result.RequestID = in.RequestID
	if result.Err != nil {
		m.event(EventRefused, in.Note.ID, "%T", result.Err)
	} else {
		m.event(EventAccepted, in.Note.ID, "revision %d", result.Revision)
	}
	m.out = append(m.out, result)
}

// advanceJob advances the job as far as possible. It runs in every call of Step.
func (m *Machine) advanceJob() {
	if m.job == nil {
		m.startJob()
	}
	j := m.job
	if j == nil {
		return
	}
	if note := m.current.head.note(j.request.Note.ID); note != nil {
		m.finishAccepted(note)
		return
	}
	if m.now.Instant >= j.deadline {
		m.refuse(&StoreError{Reason: "no decision within " + noteTimeout.String()})
		return
	}
	m.repeatAnnouncement()
	switch j.step {
	case stepReadScheduled:
		if m.now.Instant >= j.nextRead {
			m.readForJob()
		}
	case stepCatchUp:
		if m.Revision() >= j.catchUp {
			m.readForJob()
		}
	case stepAnnounce:
		m.advanceAnnounce()
	}
}

func (m *Machine) startJob() {
	if len(m.queue) == 0 {
		return
	}
	request := m.queue[0]
	m.queue = m.queue[1:]
	m.job = &job{
		request:  request,
		digest:   noteDigest(request.Note),
		deadline: m.now.Instant.Add(noteTimeout),
	}
}

// finishAccepted ends the job of a note that the head lists as accepted.
func (m *Machine) finishAccepted(note *AcceptedNote) {
	j := m.job
	if note.Digest != j.digest {
		m.finish(NoteResult{Err: &NoteReusedError{NoteID: note.ID, Revision: note.Revision}}, nil)
		return
	}
	m.finish(NoteResult{Revision: note.Revision, Repeated: j.head == nil, Changes: j.changes()}, note)
}

func (j *job) changes() []Change {
	if j.snapshot == nil || j.firstBase == nil {
		return nil
	}
	return Diff(j.firstBase, j.snapshot)
}

// refuse ends the job with an error. The note is reported as undecided if an
// update may have taken effect.
func (m *Machine) refuse(err error) {
	j := m.job
	if j.answerLost || j.ambiguous || j.step == stepUpdate {
		m.stopWriter()
		m.job = nil
		m.answer(j.request, NoteResult{Err: &UndecidedError{NoteID: j.request.Note.ID}})
		return
	}
	m.finish(NoteResult{Err: err}, nil)
}

// finish ends the job and broadcasts the resolution of its attempt.
func (m *Machine) finish(result NoteResult, accepted *AcceptedNote) {
	j := m.job
	m.endAttempt(accepted)
	m.job = nil
	m.answer(j.request, result)
}

// endAttempt resolves the current attempt, if there is one.
func (m *Machine) endAttempt(accepted *AcceptedNote) {
	j := m.job
	m.stopWriter()
	if j.attempt.Sequence == 0 {
		return
	}
	r := Resolved{Attempt: j.attempt, Revision: m.Revision()}
	if accepted != nil {
		r.Accepted, r.Revision = true, accepted.Revision
	}
	j.attempt = Attempt{}
	m.resolve(r)
	m.broadcast(r)
}

func (m *Machine) stopWriter() {
	if m.job.writer != nil {
		m.job.writer.stop()
		m.job.writer = nil
	}
}

func (m *Machine) readForJob() {
	j := m.job
	j.step = stepReading
	m.readHead(func(read headRead) {
		if m.job == j && j.step == stepReading {
			m.handleJobRead(read)
		}
	})
}

// readLater schedules another read of the head after retryInterval.
func (j *job) readLater(now machine.Instant) {
	j.step = stepReadScheduled
	j.nextRead = now.Add(retryInterval)
}

// handleJobRead chooses the next step of the job after a read of the head.
func (m *Machine) handleJobRead(read headRead) {
	j := m.job
	switch {
	case !read.ok || m.now.Instant.Sub(read.started) > maxReadAge:
		j.readLater(m.now.Instant)
	case read.head.note(j.request.Note.ID) != nil:
		if bytes.Equal(read.raw, j.raw) {
			m.adopt(j.head, j.raw, j.snapshot, j.shards)
		}
		m.finishAccepted(read.head.note(j.request.Note.ID))
	case read.head.Revision > m.Revision():
		j.step, j.catchUp = stepCatchUp, read.head.Revision
	case read.head.Revision < m.Revision() || m.current.snapshot == nil || m.targetRevision() > m.Revision():
		// The store is being repaired, or this host lags behind.
		j.readLater(m.now.Instant)
	case j.firstBase != nil && read.head.Revision > j.firstBase.Revision:
		m.refuseRaced(read)
	case j.answerLost && read.version == j.base.version:
		m.update()
	default:
		m.announce(read)
	}
}

// refuseRaced refuses a note because another one was accepted in the meantime. An
// update whose answer was lost has failed too, because its base was replaced.
func (m *Machine) refuseRaced(read headRead) {
	j := m.job
	changed := map[Item]bool{}
	for _, c := range Diff(j.firstBase, m.current.snapshot) {
		changed[c.Item] = true
	}
	var both []Item
	for _, item := range j.request.Note.Items() {
		if changed[item] {
			both = append(both, item)
		}
	}
	err := &RacedError{
		NoteID:   j.request.Note.ID,
		Revision: read.head.Revision,
		Notes:    read.head.notesAfter(j.firstBase.Revision),
		Both:     both,
	}
	j.answerLost = false
	m.refuse(err)
}

// announce applies the note to the current configuration and starts an attempt.
func (m *Machine) announce(read headRead) {
	j := m.job
	if j.answerLost {
		// The head was rewritten without the note: the update whose answer was lost
		// failed, unless a restore of the store undid it.
		j.answerLost, j.ambiguous = false, true
	}
	next, err := Apply(m.current.snapshot, j.request.Note)
	if err != nil {
		m.refuse(err)
		return
	}
	if j.firstBase == nil {
		j.firstBase = m.current.snapshot
	}
	withdrawn := WithdrawnKeys(m.current.snapshot, j.request.Note)
	if len(withdrawn) > MaxWithdrawnKeys {
		m.refuse(tooManyKeys(j.request.Note, len(withdrawn)))
		return
	}
	old := j.attempt
	m.prepare(read, next)
	m.sequence++
	j.attempt = Attempt{Origin: m.self, Sequence: m.sequence}
	m.addPending(Announce{
		Attempt: j.attempt, NoteID: j.request.Note.ID, KeyIDs: withdrawn,
		BaseRevision: read.head.Revision, BaseVersion: read.version,
	})
	j.acks = map[fleet.Member]bool{m.self: true}
	j.announcedAt, j.nextAnnounce = m.now.Instant, m.now.Instant
	j.step = stepAnnounce
	if old.Sequence > 0 {
		r := Resolved{Attempt: old, Revision: m.Revision()}
		m.resolve(r)
		m.broadcast(r)
	}
}

func tooManyKeys(n *Note, count int) error {
	return &NoteError{NoteID: n.ID, Problems: []Problem{{
		Line: 1, Column: 1, Path: "withdrawn", Value: fmt.Sprint(count, " keys"),
		Want: fmt.Sprintf("a note withdraws at most %d keys, those of withdrawn customers included; split the note", MaxWithdrawnKeys),
	}}}
}

// prepare encodes the new head and starts to write the shards that the base head
// does not list.
func (m *Machine) prepare(read headRead, next *Snapshot) {
	j := m.job
	m.stopWriter()
	order, parts := cutShards(next, m.shards)
	note := AcceptedNote{ID: j.request.Note.ID, Revision: next.Revision, Digest: j.digest}
	j.base, j.snapshot, j.shards = read, next, parts
	j.head = nextHead(read.head, order, note)
	j.raw = mustEncode(j.head)
	stored := map[Digest]bool{}
	for _, digest := range read.head.Shards {
		stored[digest] = true
	}
	var missing []Digest
	for _, digest := range order {
		if !stored[digest] {
			missing = append(missing, digest)
		}
	}
	j.writer = m.newShardWriter(missing, parts)
}

// repeatAnnouncement broadcasts the announcement again with a higher round. Members
// that missed it can still acknowledge it; the others see that the origin is
// still working on the attempt.
func (m *Machine) repeatAnnouncement() {
	j := m.job
	if j.attempt.Sequence == 0 || m.now.Instant < j.nextAnnounce {
		return
	}
	j.nextAnnounce = m.now.Instant.Add(announceInterval)
	p := m.findPending(j.attempt)
	if p == nil {
		return
	}
	p.announce.Round++
	p.lastActivity = m.now.Instant
	m.broadcast(p.announce)
}

func (m *Machine) handleJobAck(from fleet.Member, ack AnnounceAck) {
	j := m.job
	if j == nil || j.attempt != ack.Attempt {
		return
	}
	if !ack.Refused {
		j.acks[from] = true
		return
	}
	if j.step == stepAnnounce && ack.Revision > j.base.head.Revision {
		// The member has a newer revision, so this base is stale.
		m.endAttempt(nil)
		j.step, j.catchUp = stepCatchUp, ack.Revision
	}
}

func (m *Machine) advanceAnnounce() {
	j := m.job
	needed := m.majority()
	acknowledged := m.acknowledged(j.acks)
	if needed > 0 && acknowledged >= needed && j.writer.done() {
		m.update()
		return
	}
	if m.now.Instant.Sub(j.announcedAt) < majorityTimeout {
		return
	}
	if needed == 0 || acknowledged < needed {
		m.refuse(&MajorityError{Acknowledged: acknowledged, Needed: needed})
	}
}

// update sends the conditional update of the head that accepts the note.
func (m *Machine) update() {
	j := m.job
	j.step = stepUpdate
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: j.base.version, Value: j.raw}
	if j.base.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: j.raw}
	}
	attempt := j.attempt
	m.callStore(call, func(result machine.StoreResult) {
		if m.job == j && j.attempt == attempt && j.step == stepUpdate {
			m.handleUpdateResult(result)
		}
	})
}

func (m *Machine) handleUpdateResult(result machine.StoreResult) {
	j := m.job
	late := m.now.Instant.Sub(result.Started) > maxUpdateAnswerAge
	switch {
	case result.Outcome == machine.StoreOK && !late:
		note := &j.head.Notes[len(j.head.Notes)-1]
		m.adopt(j.head, j.raw, j.snapshot, j.shards)
		if m.job == j {
			m.finishAccepted(note)
		}
	case result.Outcome == machine.StoreConflict, result.Outcome == machine.StoreNotFound:
		m.readForJob()
	case result.Outcome == machine.StoreNotApplied:
		if !j.answerLost {
			j.step = stepAnnounce
			m.refuse(&StoreError{Reason: "it refused the update of the head"})
			return
		}
		j.readLater(m.now.Instant)
	default:
		j.answerLost = true
		m.readForJob()
	}
}
