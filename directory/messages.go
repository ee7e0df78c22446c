package directory

import (
	"net/netip"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/store"
)

const (
	listNumber    = 650
	currentNumber = 651
	requestNumber = 652
)

// Entry is the wire form of one host of the list.
type Entry struct {
	Name          string              `cbor:"1,keyasint"`
	Role          store.Role          `cbor:"2,keyasint"`
	Pool          fleet.Pool          `cbor:"3,keyasint,omitempty"`
	Address       netip.AddrPort      `cbor:"4,keyasint"`
	PeerAddress   netip.AddrPort      `cbor:"5,keyasint"`
	Region        fleet.Region        `cbor:"6,keyasint"`
	FailureDomain fleet.FailureDomain `cbor:"7,keyasint"`
	Slots         int                 `cbor:"8,keyasint,omitempty"`
	State         store.HostState     `cbor:"9,keyasint"`
}

// List carries the whole list after a change.
type List struct {
	// AsOfMillis is the platform's time of the list, Unix milliseconds.
	AsOfMillis int64   `cbor:"1,keyasint"`
	Digest     uint64  `cbor:"2,keyasint"`
	Entries    []Entry `cbor:"3,keyasint"`
}

// MessageNumber returns the wire number.
func (List) MessageNumber() uint16 { return listNumber }

// Current reports that the list with Digest was still current at AsOfMillis.
type Current struct {
	AsOfMillis int64  `cbor:"1,keyasint"`
	Digest     uint64 `cbor:"2,keyasint"`
}

// MessageNumber returns the wire number.
func (Current) MessageNumber() uint16 { return currentNumber }

// Request requests the list, because the sender does not have the current one.
type Request struct{}

// MessageNumber returns the wire number.
func (Request) MessageNumber() uint16 { return requestNumber }

// Messages returns the message types of the package.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[List](),
		machine.TypeOf[Current](),
		machine.TypeOf[Request](),
	}
}

// ReadList is the output that requests a read of the platform's host list.
type ReadList struct{}

// MachineOutput marks ReadList as an output.
func (ReadList) MachineOutput() {}

// ListRead is the input with the result of ReadList.
type ListRead struct {
	// OK is false if the platform did not answer.
	OK   bool
	List store.HostList
}

// MachineInput marks ListRead as an input.
func (ListRead) MachineInput() {}

// Changed is the output with a list that differs from the last one.
type Changed struct {
	Hosts []store.ListedHost
}

// MachineOutput marks Changed as an output.
func (Changed) MachineOutput() {}

// Confirmed is the output that reports that the last list is still current. Some
// rules of membership depend on how recent the list is.
type Confirmed struct{}

// MachineOutput marks Confirmed as an output.
func (Confirmed) MachineOutput() {}
