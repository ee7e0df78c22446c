package control

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
	// inboxSize bounds the inputs that wait for the control loop. With 64 hosts in a
	// cell a heartbeat round has 126 messages, so this holds several rounds.
	inboxSize = 8192
)

// ModuleID is the index of a module in the loop.
type ModuleID int

// Module is a state machine that the loop runs.
type Module struct {
	Name    string
	Machine machine.Machine
	// Output handles the outputs that are specific to this module.
	Output func(now machine.Now, out machine.Output)
}

// queuedInput is an input that waits for delivery to a module.
type queuedInput struct {
	module ModuleID
	input  machine.Input
}

// Effects holds the functions through which the loop sends messages, calls the
// store and records events.
type Effects struct {
	Send   func(to fleet.HostID, m machine.Message)
	Call   func(call machine.StoreCall, done func(machine.StoreResult))
	Record func(now machine.Now, e machine.Event)
}

// Loop owns the state machines of the process. Only the goroutine in Run accesses
// them.
type Loop struct {
	clock     *clock.Clock
	modules   []Module
	routes    map[uint16]ModuleID
	inbox     chan queuedInput
	stopped   chan struct{}
	forwarded []queuedInput
	effects   Effects
	// EveryTick is called from the loop after each tick, EverySecond about once per
	// second.
	EveryTick   func()
	EverySecond func()
	nextSecond  machine.Instant

	dropped metrics.Counter
	steps   metrics.Counter
	busy    metrics.Counter
}

func New(clock *clock.Clock, e Effects, registry metrics.Registry) *Loop {
	return &Loop{
		clock:   clock,
		routes:  map[uint16]ModuleID{},
		inbox:   make(chan queuedInput, inboxSize),
		stopped: make(chan struct{}),
		effects: e,

		EveryTick:   func() {},
		EverySecond: func() {},

		dropped: metrics.NewRegisteredCounter("control.inputs.dropped", registry),
		steps:   metrics.NewRegisteredCounter("control.steps", registry),
		busy:    metrics.NewRegisteredCounter("control.busy.nanoseconds", registry),
	}
}

// Add registers a module and the peer messages that it receives. It must not be
// called after Run has started.
func (l *Loop) Add(m Module, messages []machine.MessageType) ModuleID {
	id := ModuleID(len(l.modules))
	l.modules = append(l.modules, m)
	for _, t := range messages {
		l.routes[t.Number] = id
	}
	return id
}

// Post queues an input for a module. It never blocks: if the inbox is full, it
// counts the input as dropped and returns false. It is safe for concurrent use.
func (l *Loop) Post(id ModuleID, in machine.Input) bool {
	select {
	case l.inbox <- queuedInput{module: id, input: in}:
		return true
	default:
		l.dropped.Inc(1)
		return false
	}
}

// Receive queues a message from an authenticated peer for its module.
func (l *Loop) Receive(from fleet.Member, m machine.Message) {
	if id, known := l.routes[m.MessageNumber()]; known {
		l.Post(id, machine.Received{From: from, Message: m})
	}
}

// Forward queues an input from within the loop, after those queued before. It must
// be called only from output handlers.
func (l *Loop) Forward(id ModuleID, in machine.Input) {
	l.forwarded = append(l.forwarded, queuedInput{module: id, input: in})
}

// StepNow applies an input to a module immediately and executes its outputs. It must
// be called only from EveryTick or output handlers, and not for the module whose output
// is being handled, because that module may have further outputs that are not executed yet.
func (l *Loop) StepNow(id ModuleID, in machine.Input) {
	l.step(queuedInput{module: id, input: in})
}

// StepOthers applies an input immediately to every module but one.
func (l *Loop) StepOthers(except ModuleID, in machine.Input) {
	for id := range l.modules {
		if ModuleID(id) != except {
			l.StepNow(ModuleID(id), in)
		}
	}
}

// Run steps the modules until the context ends.
func (l *Loop) Run(ctx context.Context) {
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

func (l *Loop) tick() {
	if now := l.clock.Now().Instant; now >= l.nextSecond {
		l.nextSecond = now.Add(time.Second)
		l.EverySecond()
	}
	for id := range l.modules {
		l.process(queuedInput{module: ModuleID(id), input: machine.Tick{}})
	}
	l.EveryTick()
}

// process applies an input and all inputs that output handlers forward.
func (l *Loop) process(first queuedInput) {
	started := time.Now()
	l.step(first)
	for len(l.forwarded) > 0 {
		next := l.forwarded[0]
		l.forwarded = l.forwarded[1:]
		l.step(next)
	}
	l.busy.Inc(int64(time.Since(started)))
}

func (l *Loop) step(next queuedInput) {
	l.steps.Inc(1)
	now := l.clock.Now()
	m := &l.modules[next.module]
	for _, out := range m.Machine.Step(now, next.input) {
		l.carryOut(now, next.module, out)
	}
}

func (l *Loop) carryOut(now machine.Now, id ModuleID, out machine.Output) {
	switch out := out.(type) {
	case machine.Send:
		l.effects.Send(out.To, out.Message)
	case machine.StoreCall:
		l.effects.Call(out, func(result machine.StoreResult) { l.deliverResult(id, result) })
	case machine.Event:
		l.effects.Record(now, out)
	default:
		l.modules[id].Output(now, out)
	}
}

// deliverResult blocks while the inbox is full, because a machine whose store result
// is lost would wait for it forever. The caller is a worker of the store runner, and
// the number of workers bounds the waiting results.
func (l *Loop) deliverResult(id ModuleID, result machine.StoreResult) {
	select {
	case l.inbox <- queuedInput{module: id, input: result}:
	case <-l.stopped:
	}
}
