package configuration

import (
	"bytes"
	"fmt"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxWaitingNotes bounds the notes that wait on one host.
	maxWaitingNotes = 16
	// noteTimeout bounds the work on one note. Afterwards it is refused, or
	// reported undecided if its update may have taken effect.
	noteTimeout = 10 * time.Second
	// majorityTimeout bounds the wait for acknowledgements of an announcement.
	majorityTimeout = 2 * time.Second
	// announceInterval is the time between two announcements of the same attempt.
	announceInterval = 200 * time.Millisecond
	// retryInterval is the time between two tries of a store call.
	retryInterval = 200 * time.Millisecond
	// freshAnswer is the age up to which the answer to an update is taken as it
	// is. A host that was paused for longer reads the head again: the store may
	// have been restored, and another note accepted, before it resumed.
	freshAnswer = time.Second
	// freshRead is the same for reads of the head. It is above the time bound of a
	// store call.
	freshRead = 3 * time.Second
)

// step is what a job waits for.
type step uint8

const (
	// stepRead waits until the head may be read again.
	stepRead step = iota
	// stepReading waits for the head.
	stepReading
	// stepCatchUp waits until a newer revision is in force on this host.
	stepCatchUp
	// stepAnnounce waits for a majority and for the shards.
	stepAnnounce
	// stepUpdate waits for the answer to the conditional update.
	stepUpdate
)

// job is the work on one note on the host that accepts it.
type job struct {
	request  ApplyNote
	digest   uint64
	deadline machine.Instant
	step     step
	nextRead machine.Instant
	catchUp  fleet.Revision

	// first is the snapshot to which the note was applied first. A base with a
	// higher revision later means that another note won.
	first *Snapshot

	// The attempt under way; its Sequence is 0 if there is none.
	attempt      Attempt
	base         headRead
	head         *Head
	raw          []byte
	snapshot     *Snapshot
	shards       shards
	writer       *shardWriter
	acks         map[fleet.Member]bool
	announced    machine.Instant
	nextAnnounce machine.Instant

	// unknown is true while the answer to an update of this attempt is lost.
	unknown bool
	// ambiguous is true once the head changed without a trace of a lost update:
	// another host fenced it, or the store was restored. It can then no longer be
	// told that the note was refused.
	ambiguous bool
}

func (m *Machine) enqueue(in ApplyNote) {
	if len(m.waiting) >= maxWaitingNotes {
		m.answer(in, NoteResult{Err: &BusyError{Waiting: len(m.waiting)}})
		return
	}
	m.waiting = append(m.waiting, in)
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

// advanceJob does what the job can do now. It runs at the end of every step.
func (m *Machine) advanceJob() {
	if m.job == nil {
		m.startJob()
	}
	j := m.job
	if j == nil {
		return
	}
	if note := m.current.head.note(j.request.Note.ID); note != nil {
		m.finishKnown(note)
		return
	}
	if m.now.Instant >= j.deadline {
		m.refuse(&StoreError{Reason: "no decision within " + noteTimeout.String()})
		return
	}
	m.repeatAnnouncement()
	switch j.step {
	case stepRead:
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
	if len(m.waiting) == 0 {
		return
	}
	request := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.job = &job{
		request:  request,
		digest:   noteDigest(request.Note),
		deadline: m.now.Instant.Add(noteTimeout),
	}
}

// finishKnown ends the job of a note that is in the head.
func (m *Machine) finishKnown(note *AcceptedNote) {
	j := m.job
	if note.Digest != j.digest {
		m.finish(NoteResult{Err: &NoteReusedError{NoteID: note.ID, Revision: note.Revision}}, nil)
		return
	}
	m.finish(NoteResult{Revision: note.Revision, Repeated: j.head == nil, Changes: j.changes()}, note)
}

func (j *job) changes() []Change {
	if j.snapshot == nil || j.first == nil {
		return nil
	}
	return Diff(j.first, j.snapshot)
}

// refuse ends the job without the note, or leaves it undecided if an update may
// have taken effect.
func (m *Machine) refuse(err error) {
	j := m.job
	if j.unknown || j.ambiguous || j.step == stepUpdate {
		m.stopWriter()
		m.job = nil
		m.answer(j.request, NoteResult{Err: &UndecidedError{NoteID: j.request.Note.ID}})
		return
	}
	m.finish(NoteResult{Err: err}, nil)
}

// finish ends the job and tells all members.
func (m *Machine) finish(result NoteResult, accepted *AcceptedNote) {
	j := m.job
	m.endAttempt(accepted)
	m.job = nil
	m.answer(j.request, result)
}

// endAttempt resolves the attempt under way, if there is one.
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
			m.jobHead(read)
		}
	})
}

// readLater repeats the read of the head after a pause.
func (j *job) readLater(now machine.Instant) {
	j.step = stepRead
	j.nextRead = now.Add(retryInterval)
}

// jobHead decides what to do with the note at a head.
func (m *Machine) jobHead(read headRead) {
	j := m.job
	switch {
	case !read.ok || m.now.Instant.Sub(read.started) > freshRead:
		j.readLater(m.now.Instant)
	case read.head.note(j.request.Note.ID) != nil:
		if bytes.Equal(read.raw, j.raw) {
			m.adopt(j.head, j.raw, j.snapshot, j.shards)
		}
		m.finishKnown(read.head.note(j.request.Note.ID))
	case read.head.Revision > m.Revision():
		j.step, j.catchUp = stepCatchUp, read.head.Revision
	case read.head.Revision < m.Revision() || m.current.snapshot == nil || m.wanted() > m.Revision():
		// The store is being repaired, or this host is behind.
		j.readLater(m.now.Instant)
	case j.first != nil && read.head.Revision > j.first.Revision:
		m.lose(read)
	case j.unknown && read.version == j.base.version:
		m.update()
	default:
		m.announce(read)
	}
}

// lose refuses a note because another one was accepted in between. That also
// decides an update whose answer was lost, because its base is gone.
func (m *Machine) lose(read headRead) {
	j := m.job
	changed := map[Item]bool{}
	for _, c := range Diff(j.first, m.current.snapshot) {
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
		Notes:    read.head.notesAfter(j.first.Revision),
		Both:     both,
	}
	j.unknown = false
	m.refuse(err)
}

// announce applies the note to the head that was read and starts an attempt.
func (m *Machine) announce(read headRead) {
	j := m.job
	if j.unknown {
		// The head was rewritten without the note: the lost update failed, unless
		// the store lost it again.
		j.unknown, j.ambiguous = false, true
	}
	next, err := Apply(m.current.snapshot, j.request.Note)
	if err != nil {
		m.refuse(err)
		return
	}
	if j.first == nil {
		j.first = m.current.snapshot
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
	j.announced, j.nextAnnounce = m.now.Instant, m.now.Instant
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

// prepare encodes the result and starts to write the shards that the head of
// the base does not have.
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

// repeatAnnouncement repeats the announcement: to members that have not
// acknowledged it, and with a higher round to the others, as a sign that the
// attempt is worked on.
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
	p.fresh = m.now.Instant
	m.broadcast(p.announce)
}

func (m *Machine) jobAck(from fleet.Member, ack AnnounceAck) {
	j := m.job
	if j == nil || j.attempt != ack.Attempt {
		return
	}
	if !ack.Refused {
		j.acks[from] = true
		return
	}
	if j.step == stepAnnounce && ack.Revision > j.base.head.Revision {
		// The member holds a newer revision, so this base is old.
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
	if m.now.Instant.Sub(j.announced) < majorityTimeout {
		return
	}
	if needed == 0 || acknowledged < needed {
		m.refuse(&MajorityError{Acknowledged: acknowledged, Needed: needed})
	}
}

// update sends the conditional update on which acceptance depends.
func (m *Machine) update() {
	j := m.job
	j.step = stepUpdate
	call := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: j.base.version, Value: j.raw}
	if j.base.absent() {
		call = machine.StoreCall{Op: machine.StoreCreate, Key: HeadKey, Value: j.raw}
	}
	attempt := j.attempt
	m.store(call, func(result machine.StoreResult) {
		if m.job == j && j.attempt == attempt && j.step == stepUpdate {
			m.updated(result)
		}
	})
}

func (m *Machine) updated(result machine.StoreResult) {
	j := m.job
	late := m.now.Instant.Sub(result.Started) > freshAnswer
	switch {
	case result.Outcome == machine.StoreOK && !late:
		note := &j.head.Notes[len(j.head.Notes)-1]
		m.adopt(j.head, j.raw, j.snapshot, j.shards)
		if m.job == j {
			m.finishKnown(note)
		}
	case result.Outcome == machine.StoreConflict, result.Outcome == machine.StoreNotFound:
		m.readForJob()
	case result.Outcome == machine.StoreRefused:
		if !j.unknown {
			j.step = stepAnnounce
			m.refuse(&StoreError{Reason: "it refused the update of the head"})
			return
		}
		j.readLater(m.now.Instant)
	default:
		j.unknown = true
		m.readForJob()
	}
}
