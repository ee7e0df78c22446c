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

// maxShardsPerRequest bounds the digests in one ShardRequest.
const maxShardsPerRequest = 8

// Attempt identifies one attempt to have a note accepted.
type Attempt struct {
	Origin   fleet.Member `cbor:"1,keyasint"`
	Sequence uint64       `cbor:"2,keyasint"`
}

// Announce announces that a note may be accepted soon. Hosts that received it
// forward it until the attempt is resolved.
type Announce struct {
	Attempt Attempt  `cbor:"1,keyasint"`
	NoteID  string   `cbor:"2,keyasint"`
	KeyIDs  []string `cbor:"3,keyasint"`
	// BaseRevision and BaseVersion identify the head that the update replaces.
	BaseRevision fleet.Revision `cbor:"4,keyasint"`
	BaseVersion  uint64         `cbor:"5,keyasint"`
	// Round increases as long as the origin is working on the attempt.
	Round uint64 `cbor:"6,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Announce) MessageNumber() uint16 { return numberAnnounce }

// AnnounceAck acknowledges that the sender has suspended the keys of the attempt,
// or refuses the attempt because the sender has a newer revision.
type AnnounceAck struct {
	Attempt  Attempt        `cbor:"1,keyasint"`
	Refused  bool           `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
}

// MessageNumber returns the number of the message type.
func (AnnounceAck) MessageNumber() uint16 { return numberAnnounceAck }

// Resolved reports the outcome of an attempt.
type Resolved struct {
	Attempt  Attempt `cbor:"1,keyasint"`
	Accepted bool    `cbor:"2,keyasint"`
	// Revision is that of the accepted note; if not accepted, the sender's.
	Revision fleet.Revision `cbor:"3,keyasint"`
}

// MessageNumber returns the number of the message type.
func (Resolved) MessageNumber() uint16 { return numberResolved }

// ResolutionRequest requests the outcome of an attempt. It is answered by
// Resolved, or not at all if the receiver does not know the outcome.
type ResolutionRequest struct {
	Attempt Attempt `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (ResolutionRequest) MessageNumber() uint16 { return numberResolutionRequest }

// HeadRequest requests the head of the revision in force on the receiver.
type HeadRequest struct{}

// MessageNumber returns the number of the message type.
func (HeadRequest) MessageNumber() uint16 { return numberHeadRequest }

// HeadAnswer carries an encoded head; empty if the sender has none.
type HeadAnswer struct {
	Head []byte `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (HeadAnswer) MessageNumber() uint16 { return numberHeadAnswer }

// ShardRequest requests at most maxShardsPerRequest shards. Each is answered by a
// separate ShardAnswer.
type ShardRequest struct {
	Digests []Digest `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type.
func (ShardRequest) MessageNumber() uint16 { return numberShardRequest }

// ShardAnswer carries one shard of at most 512 KiB. Empty content means that the
// sender does not have the shard.
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
