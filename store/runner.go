package store

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/machine"
)

// Defaults of RunnerOptions.
const (
	DefaultWorkers = 8
	DefaultQueue   = 256
)

// InstantSource returns the current time of the process.
type InstantSource interface {
	Now() machine.Now
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	// Workers is the number of concurrent calls; 0 means DefaultWorkers.
	Workers int
	// Queue is the capacity of the queue of waiting calls; 0 means DefaultQueue.
	Queue int
}

// Runner executes the store calls of state machines on a pool of workers.
type Runner struct {
	objects Objects
	clock   InstantSource
	jobs    chan job
	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup
}

type job struct {
	call machine.StoreCall
	done func(machine.StoreResult)
}

// NewRunner returns a runner and starts its workers. Close stops them.
func NewRunner(objects Objects, clock InstantSource, options RunnerOptions) *Runner {
	if options.Workers <= 0 {
		options.Workers = DefaultWorkers
	}
	if options.Queue <= 0 {
		options.Queue = DefaultQueue
	}
	r := &Runner{objects: objects, clock: clock, jobs: make(chan job, options.Queue)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for range options.Workers {
		r.workers.Go(r.runWorker)
	}
	return r
}

// Submit queues a call and never blocks. done is called exactly once with the
// result, except for calls that are still queued when the runner is closed: for
// those it is never called. If the queue is full, done is called with
// StoreNotApplied before Submit returns; otherwise it is called on a worker, so it
// must be safe for concurrent use and must not wait for the caller of Submit.
func (r *Runner) Submit(call machine.StoreCall, done func(machine.StoreResult)) {
	select {
	case r.jobs <- job{call: call, done: done}:
	default:
		done(machine.StoreResult{ID: call.ID, Outcome: machine.StoreNotApplied, Started: r.clock.Now().Instant})
	}
}

// Close cancels the context of running calls and waits for the workers to stop.
func (r *Runner) Close() {
	r.cancel()
	r.workers.Wait()
}

func (r *Runner) runWorker() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case j := <-r.jobs:
			j.done(r.execute(j.call))
		}
	}
}

func (r *Runner) execute(c machine.StoreCall) machine.StoreResult {
	result := machine.StoreResult{ID: c.ID, Started: r.clock.Now().Instant}
	var err error
	switch c.Op {
	case machine.StoreGet:
		var o Object
		o, err = r.objects.Get(r.ctx, c.Key)
		result.Version, result.Value = o.Version, o.Value
	case machine.StoreCreate:
		result.Version, err = r.objects.Create(r.ctx, c.Key, c.Value)
	case machine.StoreUpdate:
		result.Version, err = r.objects.Update(r.ctx, c.Key, c.Version, c.Value)
	case machine.StoreDelete:
		err = r.objects.Delete(r.ctx, c.Key, c.Version)
	default:
		err = &UnavailableError{Cause: &OperationError{Op: c.Op}}
	}
	result.Outcome = outcomeOf(err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		result.Version = conflict.Current
	}
	return result
}

// OperationError reports an unknown store operation.
type OperationError struct {
	Op machine.StoreOp
}

func (e *OperationError) Error() string {
	return "store operation of an unknown kind"
}

// outcomeOf maps an error of Objects to an outcome. An error of an unknown type
// counts as a lost response, which is the safe assumption.
func outcomeOf(err error) machine.StoreOutcome {
	var (
		notFound    *NotFoundError
		conflict    *ConflictError
		unavailable *UnavailableError
		tooLarge    *TooLargeError
	)
	switch {
	case err == nil:
		return machine.StoreOK
	case errors.As(err, &notFound):
		return machine.StoreNotFound
	case errors.As(err, &conflict):
		return machine.StoreConflict
	case errors.As(err, &unavailable), errors.As(err, &tooLarge):
		return machine.StoreNotApplied
	default:
		return machine.StoreUnknown
	}
}
