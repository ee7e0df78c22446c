package host

import (
	"context"
	"github.com/catkinspring/catkinspring/internal/clock"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// tickInterval is the time between two ticks of every machine.
	tickInterval = 50 * time.Millisecond
	// inboxSize bounds the inputs that wait for the control loop. At 64 hosts in a
	// cell a heartbeat round is 126 messages, so this holds several rounds.
	inboxSize = 8192
)

// moduleID selects a module of the loop.
type moduleID int

// module is a state machine with its place in the loop.
type module struct {
	name    string
	machine machine.Machine
	// output handles the outputs that only this module has.
	output func(now machine.Now, out machine.Output)
}

// item is an input on its way to a module.
type item struct {
	module moduleID
	input  machine.Input
}

// effects are the actions of the loop on the outside.
type effects struct {
	send   func(to fleet.HostID, m machine.Message)
	call   func(call machine.StoreCall, done func(machine.StoreResult))
	record func(now machine.Now, e machine.Event)
}

// loop owns the state machines of the process. Only the goroutine in run
// touches them.
type loop struct {
	clock   *clock.Clock
	modules []module
	routes  map[uint16]moduleID
	inbox   chan item
	stopped chan struct{}
	local   []item
	effects effects
	// everyTick is called from the loop after each tick, everySecond about once a
	// second.
	everyTick   func()
	everySecond func()
	nextSecond  machine.Instant

	dropped metrics.Counter
	steps   metrics.Counter
	busy    metrics.Counter
}

func newLoop(clock *clock.Clock, e effects, registry metrics.Registry) *loop {
	return &loop{
		clock:   clock,
		routes:  map[uint16]moduleID{},
		inbox:   make(chan item, inboxSize),
		stopped: make(chan struct{}),
		effects: e,

		everyTick:   func() {},
		everySecond: func() {},

		dropped: metrics.NewRegisteredCounter("control.inputs.dropped", registry),
		steps:   metrics.NewRegisteredCounter("control.steps", registry),
		busy:    metrics.NewRegisteredCounter("control.busy.nanoseconds", registry),
	}
}

// add registers a module with the peer messages that it receives. It must not
// be called after run has started.
func (l *loop) add(m module, messages []machine.MessageType) moduleID {
	id := moduleID(len(l.modules))
	l.modules = append(l.modules, m)
	for _, t := range messages {
		l.routes[t.Number] = id
	}
	return id
}

// post hands an input to a module. It never waits: it returns false and counts
// the input as dropped if the inbox is full. It is safe for concurrent use.
func (l *loop) post(id moduleID, in machine.Input) bool {
	select {
	case l.inbox <- item{module: id, input: in}:
		return true
	default:
		l.dropped.Inc(1)
		return false
	}
}

// receive hands a message from an authenticated peer to its module.
func (l *loop) receive(from fleet.Member, m machine.Message) {
	if id, known := l.routes[m.MessageNumber()]; known {
		l.post(id, machine.Received{From: from, Message: m})
	}
}

// forward queues an input from within the loop, behind those queued before. It
// must be called only from output handlers.
func (l *loop) forward(id moduleID, in machine.Input) {
	l.local = append(l.local, item{module: id, input: in})
}

// stepNow applies an input to a module at once, with its outputs. It must be
// called only from output handlers, and not for the module whose output it is.
func (l *loop) stepNow(id moduleID, in machine.Input) {
	l.step(item{module: id, input: in})
}

// stepOthers applies an input at once to every module but one.
func (l *loop) stepOthers(except moduleID, in machine.Input) {
	for id := range l.modules {
		if moduleID(id) != except {
			l.stepNow(moduleID(id), in)
		}
	}
}

// run steps the modules until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case next := <-l.inbox:
			l.process(next)
		}
	}
}

func (l *loop) tick() {
	if now := l.clock.Now().Instant; now >= l.nextSecond {
		l.nextSecond = now.Add(time.Second)
		l.everySecond()
	}
	for id := range l.modules {
		l.process(item{module: moduleID(id), input: machine.Tick{}})
	}
	l.everyTick()
}

// process applies an input and every input that follows from it.
func (l *loop) process(first item) {
	started := time.Now()
	l.step(first)
	for len(l.local) > 0 {
		next := l.local[0]
		l.local = l.local[1:]
		l.step(next)
	}
	l.busy.Inc(int64(time.Since(started)))
}

func (l *loop) step(next item) {
	l.steps.Inc(1)
	now := l.clock.Now()
	m := &l.modules[next.module]
	for _, out := range m.machine.Step(now, next.input) {
		l.carryOut(now, next.module, out)
	}
}

func (l *loop) carryOut(now machine.Now, id moduleID, out machine.Output) {
	switch out := out.(type) {
	case machine.Send:
		l.effects.send(out.To, out.Message)
	case machine.StoreCall:
		l.effects.call(out, func(result machine.StoreResult) { l.deliverResult(id, result) })
	case machine.Event:
		l.effects.record(now, out)
	default:
		l.modules[id].output(now, out)
	}
}

// deliverResult waits for room in the inbox, because a machine whose store
// result is lost would wait for it forever. The caller is a worker of the store
// runner, whose number bounds the waiting results.
func (l *loop) deliverResult(id moduleID, result machine.StoreResult) {
	select {
	case l.inbox <- item{module: id, input: result}:
	case <-l.stopped:
	}
}
