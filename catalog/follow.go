package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// LongWatchTimeout is the long-poll timeout of the watches of most hosts. A long
	// timeout saves calls. A store that drops its history may leave a watch without an
	// answer; the host then learns from a peer that it missed a change, see
	// Options.Relist.
	LongWatchTimeout = 30 * time.Second
	// ShortWatchTimeout is the long-poll timeout of the hosts that detect missed changes
	// for all others. A watch that was cut off is noticed 0.7 s after this timeout, and
	// all hosts have listed about 0.6 s later: within the 4 s after which a host must be
	// up to date again.
	ShortWatchTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call. maxBackoff is
	// below the 2.5 s within which a host must be up to date after an outage.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
)

// Change is the new state of one object, or its removal.
type Change[T any] struct {
	Name string
	// Position is that of the change, or a later one.
	Position Position
	// Item is valid unless Removed is true. The item of an unusable object holds what the
	// source could read of it.
	Item T
	// Removed is true if the object was deleted or its content is unusable.
	Removed bool
	// Unusable is true if the object exists, but its content is unusable.
	Unusable bool
}

// State is the content of one kind of object, or the changes to it, as of a position of the
// store.
type State[T any] struct {
	Changes  []Change[T]
	Position Position
}

// Consistency is how recent the answer of the store must be.
type Consistency uint8

// The read consistencies.
const (
	// Latest reads return every change that was acknowledged before them.
	Latest Consistency = iota
	// Stale reads may miss the changes of some seconds. They cost the store less.
	Stale
)

// Source reads one kind of object. Its methods return *CompactedError if the store no
// longer holds the changes; after any other error, the call can safely be repeated.
type Source[T any] interface {
	// List returns all objects.
	List(ctx context.Context, read Consistency) (State[T], error)
	// Watch returns the changes after a position as soon as there are any, or none once
	// wait has passed. It returns an *EraChangedError if the store is in another era.
	Watch(ctx context.Context, since Position, wait time.Duration, read Consistency) (State[T], error)
}

// CompactedError reports a watch from a revision that the store no longer holds.
type CompactedError struct{}

func (*CompactedError) Error() string { return "the store no longer holds these changes" }

// EraChangedError reports a watch from a position of an earlier era: what has changed since
// can't be told.
type EraChangedError struct {
	// Since is the era of the position, Now that of the store.
	Since, Now uint64
}

func (e *EraChangedError) Error() string {
	return fmt.Sprintf("the store came back from an older copy: it is in era %d, the local copy is of era %d", e.Now, e.Since)
}

// Update is passed to Observer.Apply, always from the same goroutine.
type Update[T any] struct {
	// Complete is true if Changes contains all existing objects.
	Complete bool
	Changes  []Change[T]
	Position Position
	// AfterOutage is true for the first list after failed calls.
	AfterOutage bool
	// NewEra is true for the first list of an era, unless it is the first list of all. It may
	// lack what this host has seen in the era before.
	NewEra bool
}

// Observer receives updates and failures.
type Observer[T any] struct {
	Apply func(Update[T])
	// Unreachable and Reachable report that the store has become unreachable or
	// reachable; each is called once per change.
	Unreachable func(error)
	Reachable   func()
}

// Options set how Follow reads one kind of object.
type Options struct {
	// Relist requests an immediate list in place of the current watch, for example
	// because a peer has seen a later change.
	Relist <-chan struct{}
	// Watch returns the long-poll timeout and the consistency of the next watch, which
	// follows a pause after a change; 0 if there was none. A stale watch requires a peer
	// that requests a list when this host misses a change.
	Watch func(paused time.Duration) (wait time.Duration, read Consistency)
	// ListBegins is called before each list.
	ListBegins func()
	// FirstList is the consistency of the first list. All later lists are Latest,
	// because they follow a failure or a missed change.
	FirstList Consistency
	// Pause returns the time between a change and the next watch, so that a burst of changes
	// costs one call. A request for a list ends it.
	Pause func() time.Duration
	// Progress receives the position up to which the copy is complete, the position of
	// the last change, and the consistency of the read that ended.
	Progress func(complete, changed Position, read Consistency)
}

// Follow keeps its observer up to date until the context ends.
func Follow[T any](ctx context.Context, source Source[T], options Options, o Observer[T]) {
	f := follower[T]{source: source, observer: o, options: options, nextListConsistency: options.FirstList}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// follower is the state of one call to Follow.
type follower[T any] struct {
	source   Source[T]
	observer Observer[T]
	options  Options

	listed bool
	// nextListConsistency is the consistency of the next list.
	nextListConsistency Consistency
	lastChange          Position
	position            Position
	failures            int
	// paused is the pause before the next watch.
	paused time.Duration
}

func (f *follower[T]) step(ctx context.Context) {
	if !f.listed {
		f.list(ctx)
		return
	}
	f.watch(ctx)
}

func (f *follower[T]) list(ctx context.Context) {
	read := f.nextListConsistency
	f.options.ListBegins()
	state, err := f.source.List(ctx, read)
	f.nextListConsistency = Latest
	if err != nil {
		f.failed(ctx, err)
		return
	}
	update := Update[T]{
		Complete: true, Changes: state.Changes, Position: state.Position,
		AfterOutage: f.failures > 0, NewEra: f.position != 0 && f.position.Era() < state.Position.Era(),
	}
	f.succeeded()
	f.listed, f.position = true, max(f.position, state.Position)
	f.observer.Apply(update)
	f.progress(state.Changes, read)
}

func (f *follower[T]) progress(changes []Change[T], read Consistency) {
	for _, c := range changes {
		f.lastChange = max(f.lastChange, c.Position)
	}
	f.options.Progress(f.position, f.lastChange, read)
}

func (f *follower[T]) watch(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopRelist := f.cancelOnRelist(cancel)
	wait, read := f.options.Watch(f.paused)
	f.paused = 0
	state, err := f.source.Watch(watchCtx, f.position, wait, read)
	if stopRelist() {
		f.listed = false
	}
	var compacted *CompactedError
	var eraChanged *EraChangedError
	switch {
	case errors.As(err, &compacted), errors.As(err, &eraChanged):
		f.listed = false
	case err != nil && watchCtx.Err() != nil:
		// A list was requested or the process is stopping.
	case err != nil:
		f.listed = false
		f.failed(ctx, err)
	default:
		f.succeeded()
		f.position = max(f.position, state.Position)
		if len(state.Changes) > 0 {
			f.observer.Apply(Update[T]{Changes: state.Changes, Position: state.Position})
		}
		f.progress(state.Changes, read)
		if len(state.Changes) > 0 {
			f.coalesce(ctx)
		}
	}
}

// coalesce waits until further changes may have followed or a list is requested.
func (f *follower[T]) coalesce(ctx context.Context) {
	f.paused = f.options.Pause()
	timer := time.NewTimer(f.paused)
	defer timer.Stop()
	select {
	case <-f.options.Relist:
		f.listed, f.paused = false, 0
	case <-ctx.Done():
	case <-timer.C:
	}
}

// cancelOnRelist cancels a watch when a list is requested. The returned function stops
// waiting for requests and reports whether there was one.
func (f *follower[T]) cancelOnRelist(cancel context.CancelFunc) func() bool {
	stop, relisted := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-f.options.Relist:
			cancel()
			relisted <- true
		case <-stop:
			relisted <- false
		}
	}()
	return func() bool {
		close(stop)
		return <-relisted
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
	// The jitter keeps hosts from calling all at once after an outage.
	backoff := min(maxBackoff, minBackoff<<min(f.failures-1, 4))
	sleep(ctx, backoff/2+rand.N(backoff/2+1))
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
