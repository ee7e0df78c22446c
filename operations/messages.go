package operations

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// The message numbers of the package, of the range 400 to 499.
const (
	numberRequest         = 400
	numberAnswer          = 401
	numberReport          = 402
	numberReportAnswer    = 403
	numberHandoverRequest = 404
	numberHandoverChunk   = 405
	numberHandoverOffer   = 406
	numberHandoverDone    = 407
)

// Messages returns the message types of the package for the peer codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[Request](),
		machine.TypeOf[Answer](),
		machine.TypeOf[Report](),
		machine.TypeOf[ReportAnswer](),
		machine.TypeOf[HandoverRequest](),
		machine.TypeOf[HandoverChunk](),
		machine.TypeOf[HandoverOffer](),
		machine.TypeOf[HandoverDone](),
	}
}

// Request asks the owner of a partition for a claim. A repeat with the same
// attempt from the same incarnation gets the same answer.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	// WaitMillis bounds the wait for another attempt of the same operation.
	WaitMillis uint32
}

// MessageNumber returns 400.
func (Request) MessageNumber() uint16 { return numberRequest }

// Decision is what an owner says about a request.
type Decision uint8

// The decisions of an owner.
const (
	// DecisionGranted gives the attempt the right to run the operation.
	DecisionGranted Decision = iota + 1
	// DecisionRan carries the result of an earlier attempt.
	DecisionRan
	// DecisionWaiting says that another attempt runs; another decision follows.
	DecisionWaiting
	// DecisionRunning says that another attempt still ran at the end of the wait.
	DecisionRunning
	// DecisionUnknown says that an earlier attempt may have run.
	DecisionUnknown
	// DecisionMismatch says that the id belongs to a different request.
	DecisionMismatch
	// DecisionAhead says that the time in the id is ahead of the owner's clock.
	DecisionAhead
	// DecisionTooOld says that the id is older than claims are kept.
	DecisionTooOld
	// DecisionFull says that the owner can't keep another id.
	DecisionFull
	// DecisionRetry says that the receiver can't decide: it does not hold the
	// partition, or not yet.
	DecisionRetry
	// DecisionUnavailable ends an attempt that no owner decided in time. Owners
	// do not send it.
	DecisionUnavailable
)

// Answer answers a Request.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// To is the incarnation that asked. A later one numbers its attempts anew.
	To       fleet.Incarnation
	Attempt  uint64
	Decision Decision
	Result   *traffic.OperationResult
	// ID is set with DecisionGranted, so that a grant to an attempt that ended
	// can be released.
	ID traffic.OperationID
}

// MessageNumber returns 401.
func (Answer) MessageNumber() uint16 { return numberAnswer }

// Ending says how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	// EndingComplete means that the operation ran and its result is known.
	EndingComplete Ending = iota + 1
	// EndingRelease means that nothing ran and that the attempt never will run.
	EndingRelease
	// EndingAbandon means that the operation may have run.
	EndingAbandon
)

// Report tells the owner how an attempt ended. It is repeated until a
// ReportAnswer says that the ending is kept.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	Ending      Ending
	Result      *traffic.OperationResult
	// ClaimedMillis is when the attempt began, Unix milliseconds.
	ClaimedMillis int64
}

// MessageNumber returns 402.
func (Report) MessageNumber() uint16 { return numberReport }

// ReportAnswer acknowledges a Report.
type ReportAnswer struct {
	_       struct{} `cbor:",toarray"`
	To      fleet.Incarnation
	Attempt uint64
	// Durable is true if the ending survives the owner. Otherwise the requester
	// keeps it and repeats the report at a slower pace.
	Durable bool
}

// MessageNumber returns 403.
func (ReportAnswer) MessageNumber() uint16 { return numberReportAnswer }

// HandoverRequest asks for the claims of a partition.
type HandoverRequest struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	// Epoch is that of the sender.
	Epoch uint64
	// Tenure is the earlier epoch whose owner is asked.
	Tenure uint64
	// Named is true if the receiver is known to have been the owner in that epoch.
	Named bool
}

// MessageNumber returns 404.
func (HandoverRequest) MessageNumber() uint16 { return numberHandoverRequest }

// HandoverChunk carries a part of the claims of a partition.
type HandoverChunk struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Epoch     uint64
	Tenure    uint64
	To        fleet.Incarnation
	Index     uint32
	Last      bool
	// Unserved is true if the sender never knew the claims of the partition in
	// that tenure, so that it granted nothing. Records is then empty, and Doubtful
	// says whether an earlier owner may have granted claims that no log holds.
	Unserved bool
	Doubtful bool
	// UnknownBefore is that of the sender for the partition.
	UnknownBefore int64
	Records       []record
}

// MessageNumber returns 405.
func (HandoverChunk) MessageNumber() uint16 { return numberHandoverChunk }

// HandoverOffer asks the owner of a partition whether the sender may forget the
// claims that it still keeps for it.
type HandoverOffer struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
}

// MessageNumber returns 406.
func (HandoverOffer) MessageNumber() uint16 { return numberHandoverOffer }

// HandoverDone says that the sender holds the partition and that the claims of
// earlier owners are in its log.
type HandoverDone struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Epoch     uint64
}

// MessageNumber returns 407.
func (HandoverDone) MessageNumber() uint16 { return numberHandoverDone }
