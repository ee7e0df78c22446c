package configuration

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Message numbers.
const (
	numberAnnounce          = 200
	numberAnnounceAck       = 201
	numberResolved          = 202
	numberResolutionRequest = 203
	numberHeadRequest       = 204
	numberHeadAnswer        = 205
	numberShardRequest      = 206
	numberShardAnswer       = 207
)

// maxShardsPerRequest bounds the shards that one request asks for.
const maxShardsPerRequest = 8

// Attempt names one attempt to get a note accepted.
type Attempt struct {
	Origin   fleet.Member `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`
}

// Announce says that a note may be accepted soon. Hosts that know it pass it on
// until it is resolved.
type Announce struct {
	Attempt Attempt  `cbor:"1,keyasint"`
	NoteID  string   `cbor:"2,keyasint"`
	KeyIDs  []string `cbor:"3,keyasint"`
	// BaseRevision and BaseVersion are the head on which the update depends.
	BaseRevision fleet.Revision `cbor:"4,keyasint"`
	BaseVersion  uint64         `cbor:"5,keyasint"`
	// Round increases while the origin works on the attempt.
	Round uint64 `cbor:"6,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Announce) MessageNumber() uint16 { return numberAnnounce }

// AnnounceAck says that the sender knows the attempt and suspends its keys, or
// refuses to because it holds a newer revision.
type AnnounceAck struct {
	Attempt  Attempt        `cbor:"1,keyasint"`
	Refused  bool           `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
}

// MessageNumber returns the number of the message type.
func (AnnounceAck) MessageNumber() uint16 { return numberAnnounceAck }

// Resolved says how an attempt ended.
type Resolved struct {
	Attempt  Attempt `cbor:"1,keyasint"`
	Accepted bool    `cbor:"2,keyasint"`
	// Revision is the revision that the note became, or the sender's.
	Revision fleet.Revision `cbor:"3,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Resolved) MessageNumber() uint16 { return numberResolved }

// ResolutionRequest asks how an attempt ended. It is answered by Resolved, or
// not at all if the receiver does not know.
type ResolutionRequest struct {
	Attempt Attempt `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (ResolutionRequest) MessageNumber() uint16 { return numberResolutionRequest }

// HeadRequest asks for the head of the receiver's revision.
type HeadRequest struct{}

// MessageNumber returns the number of the message type.
func (HeadRequest) MessageNumber() uint16 { return numberHeadRequest }

// HeadAnswer carries an encoded head; empty if the sender has none.
type HeadAnswer struct {
	Head []byte `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (HeadAnswer) MessageNumber() uint16 { return numberHeadAnswer }

// ShardRequest asks for shards, at most maxShardsPerRequest. Each is answered by
// a ShardAnswer of its own.
type ShardRequest struct {
	Digests []Digest `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (ShardRequest) MessageNumber() uint16 { return numberShardRequest }

// ShardAnswer carries one shard of at most 512 KiB; no content means that the
// sender does not hold it.
type ShardAnswer struct {
	Digest  Digest `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// MessageNumber returns the number of the message type.
func (ShardAnswer) MessageNumber() uint16 { return numberShardAnswer }

// Messages returns the message types of this package.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[Announce](),
		machine.TypeOf[AnnounceAck](),
		machine.TypeOf[Resolved](),
		machine.TypeOf[ResolutionRequest](),
		machine.TypeOf[HeadRequest](),
		machine.TypeOf[HeadAnswer](),
		machine.TypeOf[ShardRequest](),
		machine.TypeOf[ShardAnswer](),
	}
}
