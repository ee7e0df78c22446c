package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// LongWait is how long a watch of most hosts waits at the store. Long waits save
	// calls. A store that drops its history may leave a watch without an answer; the
	// host then learns from a peer that it misses something, see Options.Relist.
	LongWatchTimeout = 30 * time.Second
	// ShortWait is how long a watch of the hosts that look after all others waits. A
	// watch that was cut is noticed after it and 0.7 s, and all hosts have listed
	// about 0.6 s later: within the 4 s after which a host must be up to date again.
	ShortWatchTimeout = 1500 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call. maxRetry is below
	// the time within which a host must be up to date after an outage (2.5 s).
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
)

// Change is a new state of one object, or its removal.
type Change[T any] struct {
	Name string
	// Revision is the store revision of the change, or a later one.
	Revision uint64
	// Item is valid unless Removed is true.
	Item T
	// Removed objects are gone, or their content names nothing that can be used.
	Removed bool
}

// State is the content of a kind, or what changed in it, up to a store revision.
type State[T any] struct {
	Changes  []Change[T]
	Revision uint64
}

// Read says how recent the answer of the store must be.
type Consistency uint8

// The reads.
const (
	// Latest reads see every change that was acknowledged before them.
	Latest Consistency = iota
	// Lagging reads may miss the changes of some seconds. They cost the store less.
	Stale
)

// Source reads one kind of object. Its methods return *CompactedError if the
// store no longer holds the changes, and otherwise an error after which a repeat
// is harmless.
type Source[T any] interface {
	// List returns all objects.
	List(ctx context.Context, read Consistency) (State[T], error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// once wait has passed.
	Watch(ctx context.Context, since uint64, wait time.Duration, read Consistency) (State[T], error)
}

// CompactedError reports a watch from a revision that the store no longer holds.
type CompactedError struct{}

func (*CompactedError) Error() string { return "the store no longer holds these changes" }

// Update is what Follow tells its user. It is called from one goroutine.
type Update[T any] struct {
	// Complete is true if Changes are all objects that exist.
	Complete bool
	Changes  []Change[T]
	Revision uint64
	// AfterOutage is true for the first list after failed calls.
	AfterOutage bool
}

// Observer is told of updates and failures.
type Observer[T any] struct {
	Apply func(Update[T])
	// Lost and Regained report the reachability of the store; each is called once
	// a change.
	Unreachable func(error)
	Reachable   func()
}

// Options say how a kind is followed.
type Options struct {
	// Relist asks for a list at once, because a peer knows more.
	Relist <-chan struct{}
	// Watch returns how long the next watch waits, and how recent it must be. A
	// lagging watch needs a peer that asks for a list when it misses something.
	Watch func() (wait time.Duration, read Consistency)
	// FirstList says how recent the first list must be. All later ones are the
	// latest: they follow a failure or a change that was missed.
	FirstList Consistency
	// Pause is the time after a change before the next watch, so that a burst of
	// changes costs one call.
	CoalesceDelay time.Duration
	// Progress takes the revision up to which the copy is complete, and that of the
	// last change.
	Progress func(complete, changed uint64)
}

// Follow keeps its observer up to date until the context ends.
func Follow[T any](ctx context.Context, source Source[T], options Options, o Observer[T]) {
	f := follower[T]{source: source, observer: o, options: options, read: options.FirstList}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower[T any] struct {
	source   Source[T]
	observer Observer[T]
	options  Options

	listed bool
	// read is how recent the next list must be.
	read     Consistency
	changed  uint64
	revision uint64
	failures int
}

func (f *follower[T]) step(ctx context.Context) {
	if !f.listed {
		f.list(ctx)
		return
	}
	f.watch(ctx)
}

func (f *follower[T]) list(ctx context.Context) {
	state, err := f.source.List(ctx, f.read)
	f.read = Latest
	if err != nil {
		f.failed(ctx, err)
		return
	}
	outage := f.failures > 0
	f.succeeded()
	f.listed, f.revision = true, max(f.revision, state.Revision)
	f.observer.Apply(Update[T]{Complete: true, Changes: state.Changes, Revision: state.Revision, AfterOutage: outage})
	f.progress(state.Changes)
}

func (f *follower[T]) progress(changes []Change[T]) {
	for _, c := range changes {
		f.changed = max(f.changed, c.Revision)
	}
	f.options.Progress(f.revision, f.changed)
}

func (f *follower[T]) watch(ctx context.Context) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := f.cancelOnRelist(cancel)
	wait, read := f.options.Watch()
	state, err := f.source.Watch(watching, f.revision, wait, read)
	if stop() {
		f.listed = false
	}
	var compacted *CompactedError
	switch {
	case errors.As(err, &compacted):
		f.listed = false
	case err != nil && watching.Err() != nil:
		// Asked to list, or the process ends.
	case err != nil:
		f.listed = false
		f.failed(ctx, err)
	default:
		f.succeeded()
		f.revision = max(f.revision, state.Revision)
		if len(state.Changes) > 0 {
			f.observer.Apply(Update[T]{Changes: state.Changes, Revision: state.Revision})
		}
		f.progress(state.Changes)
		if len(state.Changes) > 0 {
			pause(ctx, f.options.CoalesceDelay)
		}
	}
}

// cancelOnRelist cancels a watch when a list is asked for. The returned function
// ends that and reports whether it happened.
func (f *follower[T]) cancelOnRelist(cancel context.CancelFunc) func() bool {
	stop, asked := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-f.options.Relist:
			cancel()
			asked <- true
		case <-stop:
			asked <- false
		}
	}()
	return func() bool {
		close(stop)
		return <-asked
	}
}

func (f *follower[T]) succeeded() {
	if f.failures > 0 {
		f.observer.Reachable()
	}
	f.failures = 0
}

func (f *follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	if f.failures == 1 {
		f.observer.Unreachable(err)
	}
	// Jitter keeps the hosts of a fleet from calling together after an outage.
	wait := min(maxRetry, minRetry<<min(f.failures-1, 4))
	pause(ctx, wait/2+rand.N(wait/2+1))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
