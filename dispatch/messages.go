package dispatch

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// The message numbers of this package on the wire.
const (
	messageNumberSuspicions = 500
	messageNumberCleared    = 501
)

// Crash reports that an upstream crashed while a fingerprint was in flight there.
type Crash struct {
	Fingerprint uint64         `cbor:"1,keyasint"`
	Upstream    fleet.Upstream `cbor:"2,keyasint"`
	// ID identifies the observation. A message may arrive after the success that
	// cleared the crash. Ages can't show that, because they exclude transit time.
	ID uint64 `cbor:"5,keyasint"`
	// AgeMillis is the time since the crash when the message was sent.
	AgeMillis int64 `cbor:"3,keyasint"`
	// Incarnation identifies the start of the upstream, as the reporting host knew it; 0
	// if it is unknown.
	Incarnation int64 `cbor:"6,keyasint,omitempty"`
}

// Suspicions reports crashes to other hosts.
type Suspicions struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Suspicions) MessageNumber() uint16 { return messageNumberSuspicions }

// Cleared reports that a suspected fingerprint succeeded after the given crashes.
type Cleared struct {
	Fingerprint uint64   `cbor:"1,keyasint"`
	CrashIDs    []uint64 `cbor:"2,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Cleared) MessageNumber() uint16 { return messageNumberCleared }

// Messages returns the message types of the package.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Suspicions](), machine.TypeOf[Cleared]()}
}

// Suspected is the input that reports a crash of an upstream.
type Suspected struct {
	Upstream fleet.Upstream
	// Incarnation identifies the start of the upstream; 0 if it is unknown.
	Incarnation int64
	// Fingerprints are those that were in flight there, sorted.
	Fingerprints []uint64
}

// MachineInput marks Suspected as an input.
func (Suspected) MachineInput() {}

// Succeeded is the input that reports a success of a suspected fingerprint.
type Succeeded struct {
	Fingerprint uint64
}

// MachineInput marks Succeeded as an input.
func (Succeeded) MachineInput() {}
