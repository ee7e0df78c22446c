package edge

import (
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/machine"
)

// progress holds how far the local copy of one kind is up to date.
type progress struct {
	// complete is the catalog.Position up to which the copy is complete, changed that of
	// the last change.
	complete, changed atomic.Uint64
	// relist requests that the watch is replaced by a new list.
	relist chan struct{}
	// readSent is when the last read was sent, and read whether one has been answered; only the
	// goroutine that follows the kind uses them.
	readSent machine.Instant
	read     bool
	// upToDateUntil is the machine.Instant until which the copy counts as up to date; 0
	// if its last read was a stale one or failed. lastRead is the consistency of the last
	// read; only the goroutine that follows the kind uses it.
	upToDateUntil atomic.Int64
	lastRead      catalog.Consistency
	// list decides when a list is requested. Only the control loop uses it.
	list listTimer
}

// listTimer decides when a host lists because a peer knows a later change.
type listTimer struct {
	// at is when a list is requested; 0 if the copy is complete.
	at machine.Instant
	// requested is the latest position that was known when one was requested last.
	requested uint64
}

// isDue reports whether a list has to be requested now. delay is the time that the watch is
// given to deliver a change.
func (t *listTimer) isDue(now machine.Instant, complete, known uint64, delay time.Duration) bool {
	if known <= complete {
		t.at = 0
		return false
	}
	if known > t.requested && (t.at == 0 || now.Add(delay) < t.at) {
		t.at = now.Add(delay)
	}
	if t.at == 0 || now < t.at {
		return false
	}
	t.at, t.requested = now.Add(relistInterval), known
	return true
}

const (
	// staleGrace is how long a peer may have a later change, in addition to the delay
	// of the kind, before a list is requested.
	staleGrace = 150 * time.Millisecond
	// relistInterval is the time before the list is requested again.
	relistInterval = 2 * time.Second
	// overdueSlack is how much later than its timeout a watch of a fresh reader may
	// return before the copy no longer counts as up to date: a round trip between regions
	// takes about 110 ms.
	overdueSlack = 300 * time.Millisecond
	// listAtOnceTime is how long hosts list without a delay after the first heartbeat of a fresh
	// reader again.
	listAtOnceTime = time.Second
)

// watchBegins notes that a watch begins.
func (p *progress) watchBegins(now machine.Instant, wait time.Duration, read catalog.Consistency) {
	p.readSent = now
	if read != catalog.Latest || p.lastRead != catalog.Latest {
		p.setUpToDateUntil(0)
		return
	}
	p.setUpToDateUntil(now.Add(wait + overdueSlack))
}

// readEnds notes an answer of the store; the next watch begins after a delay.
func (p *progress) readEnds(now machine.Instant, delay time.Duration, read catalog.Consistency) {
	p.lastRead = read
	if read == catalog.Latest {
		p.setUpToDateUntil(now.Add(delay + overdueSlack))
	}
}

func (p *progress) setUpToDateUntil(t machine.Instant) { p.upToDateUntil.Store(int64(t)) }

// checkCopies passes the state of the copies to the freshness machine and requests
// lists of those that lag.
func (e *Edge) checkCopies() {
	now := e.now()
	upToDate := true
	for i := range e.progress {
		upToDate = upToDate && now < machine.Instant(e.progress[i].upToDateUntil.Load())
	}
	e.loop.Forward(e.modules.freshness, freshness.SetCopy{
		UpToDate: upToDate, Reachable: e.unreachable.Load() == 0, Revisions: e.revisions(), Evacuations: e.evacuations.own(),
	})
	e.checkStaleCopies(now)
	e.checkLease(now)
}

// freshnessOutput applies what the freshness machine decided.
func (e *Edge) freshnessOutput(now machine.Now, out machine.Output) {
	state, ok := out.(freshness.State)
	if !ok {
		return
	}
	e.highestRevisions = freshness.MergeRevisions(e.highestRevisions, state.Revisions)
	e.relayEvacuations(state.Evacuations)
	if e.listAtOnce && state.ReaderKnown {
		e.listAtOnceUntil = now.Instant.Add(listAtOnceTime)
	}
	if e.listAtOnce == state.ReaderKnown {
		e.listAtOnce = !state.ReaderKnown
		e.log.Info().Bool("reader_known", state.ReaderKnown).Msg("fresh readers changed")
	}
	if e.freshReader.Swap(state.Reads) == state.Reads {
		return
	}
	e.log.Info().Bool("reads", state.Reads).Msg("role of fresh reader changed")
	if state.Reads {
		// Ends the current watches, which may have a long timeout.
		for i := range e.progress {
			e.progress[i].requestList()
		}
	}
}

// listDelay returns how long a peer may have a later change of a kind before a list is
// requested. Without fresh readers, the change may be old when the host learns of it.
func listDelay(k kind, listAtOnce bool) time.Duration {
	if listAtOnce {
		return 0
	}
	return staleGrace + coalesceDelays[k]
}

// checkStaleCopies requests a list of each kind of which a peer has had a later
// change for longer than the watch takes to deliver it.
func (e *Edge) checkStaleCopies(now machine.Instant) {
	for i := range min(len(e.highestRevisions), len(e.progress)) {
		p, known := &e.progress[i], e.highestRevisions[i]
		complete := p.complete.Load()
		if p.list.isDue(now, complete, known, listDelay(kind(i), e.listAtOnce || now < e.listAtOnceUntil)) {
			e.log.Warn().Stringer("kind", kind(i)).Uint64("complete", catalog.Position(complete).Revision()).Uint64("known", catalog.Position(known).Revision()).Uint64("era", catalog.Position(known).Era()).Msg("a peer knows a later change")
			p.requestList()
		}
	}
}

// requestList ends the current watch and reads a new list.
func (p *progress) requestList() {
	select {
	case p.relist <- struct{}{}:
	default:
		// A list has already been requested.
	}
}

// revisions returns the position of the last change of each kind on this host.
func (e *Edge) revisions() []uint64 {
	list := make([]uint64, len(e.progress))
	for i := range e.progress {
		list[i] = e.progress[i].changed.Load()
	}
	return list
}

// watchMode returns the long-poll timeout and the consistency of this host's next
// watch. The fresh readers use short timeouts and read the latest state, to find
// changes that all watches missed. The other hosts may lag: the fresh readers report
// to them what they have missed, and they list it then.
func (e *Edge) watchMode(paused time.Duration) (time.Duration, catalog.Consistency) {
	if !e.freshReader.Load() {
		return catalog.LongWatchTimeout, catalog.Stale
	}
	return readerWatch(paused), catalog.Latest
}

// readerWatch returns the long-poll timeout of a fresh reader after a pause. Both together
// bound the time in which it may miss that it is cut off from the store.
func readerWatch(paused time.Duration) time.Duration { return catalog.ShortWatchTimeout - paused }
