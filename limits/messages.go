package limits

import (
	"math"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// The message numbers of the package, of the range 300 to 399.
const (
	numberRequest = 300
	numberGrant   = 301
	numberReturn  = 302
	numberSpare   = 303
)

// Messages returns the message types of the package for the peer codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[Request](),
		machine.TypeOf[Grant](),
		machine.TypeOf[Return](),
		machine.TypeOf[Spare](),
	}
}

// Purpose says what borrowed units are for.
type Purpose uint8

// The purposes of loans.
const (
	// ForDemand covers the expected demand of the borrower.
	ForDemand Purpose = iota
	// ForWaiting covers requests that are queued for tokens.
	ForWaiting
	// ForPool collects the units of a small burst at one host, the pool of the
	// customer, which holds whole tokens for all others. Every other purpose has
	// priority over it.
	ForPool
)

// Want requests units of one customer.
type Want struct {
	Customer fleet.Customer `cbor:"1,keyasint"`
	Units    uint32         `cbor:"2,keyasint"`
	// Held is the number of units that the sender holds.
	Held uint32 `cbor:"3,keyasint,omitempty"`
	// Purpose says what the units are for.
	Purpose Purpose `cbor:"4,keyasint,omitempty"`
}

// Request asks a peer for new loans and for the renewal of loans.
type Request struct {
	// Sequence increases with every request of the sender.
	Sequence uint64   `cbor:"1,keyasint"`
	Wants    []Want   `cbor:"2,keyasint,omitempty"`
	Renewals []uint64 `cbor:"3,keyasint,omitempty"`
}

// MessageNumber returns 300.
func (Request) MessageNumber() uint16 { return numberRequest }

// Loan answers one Want.
type Loan struct {
	Customer fleet.Customer `cbor:"1,keyasint"`
	// ID and Units are 0 if nothing is lent.
	ID    uint64 `cbor:"2,keyasint,omitempty"`
	Units uint32 `cbor:"3,keyasint,omitempty"`
	// Microtokens are the stored tokens that move with the units, in millionths.
	Microtokens uint64 `cbor:"4,keyasint,omitempty"`
	// Millis is the duration of the loan if it is shorter than that of the grant.
	Millis uint32 `cbor:"5,keyasint,omitempty"`
	// Spare and Stored are what the sender could still lend, in units and in
	// thousandths of a token.
	Spare  uint32 `cbor:"6,keyasint,omitempty"`
	Stored uint32 `cbor:"7,keyasint,omitempty"`
}

// Grant answers a Request. The units and tokens in it were subtracted from the
// sender before it was sent.
type Grant struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// To is the incarnation that sent the request. A later incarnation of the same
	// host restarts its sequence numbers and must not accept the grant.
	To fleet.Incarnation `cbor:"2,keyasint"`
	// Millis is the duration of all loans and renewals of the grant. The receiver
	// counts it from the time at which it sent the request.
	Millis uint32 `cbor:"3,keyasint"`
	Loans  []Loan `cbor:"4,keyasint,omitempty"`
	// Renewed lists the loans that were renewed.
	Renewed []uint64 `cbor:"5,keyasint,omitempty"`
}

// MessageNumber returns 301.
func (Grant) MessageNumber() uint16 { return numberGrant }

// ReturnedLoan is a loan that is returned before its end.
type ReturnedLoan struct {
	ID uint64 `cbor:"1,keyasint"`
	// Microtokens are the stored tokens that move back, in millionths.
	Microtokens uint64 `cbor:"2,keyasint,omitempty"`
}

// Return gives loans back before their end.
type Return struct {
	// Lender is the incarnation that granted the loans.
	Lender fleet.Incarnation `cbor:"1,keyasint"`
	Loans  []ReturnedLoan    `cbor:"2,keyasint"`
}

// MessageNumber returns 302.
func (Return) MessageNumber() uint16 { return numberReturn }

// SpareItem is what a host could lend of one customer.
type SpareItem struct {
	Customer fleet.Customer `cbor:"1,keyasint"`
	Units    uint32         `cbor:"2,keyasint,omitempty"`
	// Stored is the number of stored tokens, in thousandths.
	Stored uint32 `cbor:"3,keyasint,omitempty"`
}

// Spare advertises what a host could lend. Customers that are not listed have
// nothing to spare.
type Spare struct {
	Sequence uint64      `cbor:"1,keyasint"`
	Items    []SpareItem `cbor:"2,keyasint,omitempty"`
}

// MessageNumber returns 303.
func (Spare) MessageNumber() uint16 { return numberSpare }

const (
	microtoken = 1e-6
	millitoken = 1e-3
)

// toMicrotokens rounds down, so that a transfer never creates tokens.
func toMicrotokens(tokens float64) uint64 {
	return uint64(max(0, tokens) / microtoken)
}

// toMillitokens converts a number of tokens for an advertisement.
func toMillitokens(tokens float64) uint32 {
	return uint32(min(max(0, tokens)/millitoken, math.MaxUint32))
}
