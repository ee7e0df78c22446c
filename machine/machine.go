package machine

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Instant is a point on the monotonic clock of a process, in nanoseconds since
// an arbitrary start. Instants of two processes can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Now is the time at which a step runs.
type Now struct {
	// Instant is the monotonic time, from which all durations are computed.
	Instant Instant
	// WallMillis is the wall clock in Unix milliseconds. It may jump.
	WallMillis int64
}

// Input is an event that a state machine processes. Modules define their own
// inputs in addition to those of this package.
type Input interface {
	MachineInput()
}

// Output is an action that a state machine requests. Modules define their own
// outputs in addition to those of this package.
type Output interface {
	MachineOutput()
}

// Machine is a deterministic state machine.
type Machine interface {
	// Step applies one input at the given time. The Instant of successive calls
	// never decreases.
	Step(now Now, in Input) []Output
}

// Message is a message between two hosts.
type Message interface {
	// MessageNumber returns the number of the message type on the wire.
	// docs/design.md lists the range of each module.
	MessageNumber() uint16
}

// Tick is the periodic timer input. The control loop sends one every 50 ms.
type Tick struct{}

// MachineInput marks Tick as an input.
func (Tick) MachineInput() {}

// Received is a message from an authenticated peer.
type Received struct {
	From    fleet.Member
	Message Message
}

// MachineInput marks Received as an input.
func (Received) MachineInput() {}

// ViewChanged carries a new membership view to the modules that depend on it.
type ViewChanged struct {
	View *fleet.View
}

// MachineInput marks ViewChanged as an input.
func (ViewChanged) MachineInput() {}

// LeaseChanged carries the new expiry of the host's lease.
type LeaseChanged struct {
	// ValidUntil is the instant at which the lease expires unless it is renewed.
	ValidUntil Instant
}

// MachineInput marks LeaseChanged as an input.
func (LeaseChanged) MachineInput() {}

// Send requests that a message is sent to a host. Delivery is not guaranteed.
type Send struct {
	To      fleet.HostID
	Message Message
}

// MachineOutput marks Send as an output.
func (Send) MachineOutput() {}

// Event requests an entry in the timeline. Text must not contain a key.
type Event struct {
	Kind     string
	Customer fleet.Customer
	Request  string
	Subject  string
	Text     string
}

// MachineOutput marks Event as an output.
func (Event) MachineOutput() {}

// MessageType registers a message with the codec of the peer connections.
type MessageType struct {
	Number uint16
	// New returns a pointer to an empty message of the type, for decoding.
	New func() any
	// Value returns the message that a pointer from New points to. Decoded messages
	// are delivered in this form.
	Value func(pointer any) Message
}

// TypeOf returns the MessageType of M.
func TypeOf[M Message]() MessageType {
	var zero M
	return MessageType{
		Number: zero.MessageNumber(),
		New:    func() any { return new(M) },
		Value:  func(pointer any) Message { return *pointer.(*M) },
	}
}
