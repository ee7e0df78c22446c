package membership

import (
	"encoding/binary"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// The numbers of the messages of this package.
const (
	numberHeartbeat     = 100
	numberRosterRequest = 101
	numberRosterUpdate  = 102
)

// Flags of a heartbeat.
const (
	flagLease       = 1 << iota // acknowledges the receiver's lease
	flagDraining                // the sender is leaving
	flagUncommitted             // the sender may have granted uncommitted claims
	flagReply                   // requests an immediate heartbeat in return
)

// Heartbeat is sent to each member of the cell every eighth of a lease. It also
// acknowledges the last heartbeat received from that member.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// To is the first eight bytes of the incarnation that Seen and flagLease
	// acknowledge.
	To uint64
	// Seen is the sequence of the last heartbeat that the sender got from the
	// receiver.
	Seen  uint64
	Flags uint8
	// Generation is the roster generation that the sender has applied. It confirms
	// the generation to the receiver.
	Generation uint64
	// ReadGeneration is the generation found by the most recent known store read.
	ReadGeneration uint64
	// ReadAge is the age of that read in milliseconds, rounded up, plus 1; 0 if
	// no read is known.
	ReadAge  uint32
	Revision fleet.Revision
	// Load is the sender's load in thousandths, plus 1; 0 if unknown.
	Load uint16
	// Suspects are the members from which the sender has received no heartbeat for
	// a lease duration.
	Suspects []fleet.Incarnation
	// Uncommitted are the members that announced uncommitted claims to the sender.
	Uncommitted []fleet.Incarnation
}

// MessageNumber returns the number of the message type.
func (Heartbeat) MessageNumber() uint16 { return numberHeartbeat }

// RosterRequest requests the receiver's roster if it is newer than Generation.
type RosterRequest struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
}

// MessageNumber returns the number of the message type.
func (RosterRequest) MessageNumber() uint16 { return numberRosterRequest }

// RosterUpdate carries a roster in the form in which the store holds it.
type RosterUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Version is the store version of the object.
	Version uint64
	Value   []byte
}

// MessageNumber returns the number of the message type.
func (RosterUpdate) MessageNumber() uint16 { return numberRosterUpdate }

// Messages returns the message types of this package.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[Heartbeat](),
		machine.TypeOf[RosterRequest](),
		machine.TypeOf[RosterUpdate](),
	}
}

// shortIncarnation returns the first eight bytes of an incarnation.
func shortIncarnation(incarnation fleet.Incarnation) uint64 {
	return binary.BigEndian.Uint64(incarnation[:8])
}

// encodeLoad returns the load in thousandths, plus 1; 0 if it is unknown.
func encodeLoad(load float64) uint16 {
	if load < 0 {
		return 0
	}
	return uint16(min(load, 1)*1000) + 1
}

// decodeLoad is the inverse of encodeLoad.
func decodeLoad(load uint16) float64 {
	if load == 0 {
		return -1
	}
	return min(float64(load-1)/1000, 1)
}
