package operations

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// Message numbers of this package; its range is 400 to 499.
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

// Request requests a claim from the owner of a partition. It is idempotent per
// attempt and incarnation: a retry gets the same answer.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	// WaitMillis limits how long to wait for a running attempt of the same operation.
	WaitMillis uint32
}

// MessageNumber returns 400.
func (Request) MessageNumber() uint16 { return numberRequest }

// Decision is an owner's decision on a claim request.
type Decision uint8

// The possible decisions.
const (
	// DecisionGranted means that the attempt may run the operation.
	DecisionGranted Decision = iota + 1
	// DecisionRan means that an earlier attempt ran; its result is attached.
	DecisionRan
	// DecisionWaiting means that another attempt is running; a final decision follows.
	DecisionWaiting
	// DecisionRunning means that another attempt was still running at the end of the wait.
	DecisionRunning
	// DecisionUnknown means that an earlier attempt may have run.
	DecisionUnknown
	// DecisionMismatch means that the id was used for a different request.
	DecisionMismatch
	// DecisionAhead means that the timestamp in the id is ahead of the owner's clock.
	DecisionAhead
	// DecisionTooOld means that the id is older than the retention of claims.
	DecisionTooOld
	// DecisionFull means that the owner's table of ids is full.
	DecisionFull
	// DecisionRetry means that the receiver can't decide because it does not own
	// the partition or does not serve it yet.
	DecisionRetry
	// DecisionUnavailable means that no owner decided in time. It is set by the
	// requester and never sent by owners.
	DecisionUnavailable
)

// Answer answers a Request.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// To is the incarnation that sent the request. Attempt numbers are unique only
	// within an incarnation.
	To       fleet.Incarnation
	Attempt  uint64
	Decision Decision
	Result   *traffic.OperationResult
	// ID is set with DecisionGranted, so that the requester can release a grant
	// for an attempt that has already ended.
	ID traffic.OperationID
}

// MessageNumber returns 401.
func (Answer) MessageNumber() uint16 { return numberAnswer }

// Ending is how an attempt ended.
type Ending uint8

// The possible endings.
const (
	// EndingComplete means that the operation ran and its result is known.
	EndingComplete Ending = iota + 1
	// EndingRelease means that the attempt did not and will not run the operation.
	EndingRelease
	// EndingAbandon means that the operation may have run.
	EndingAbandon
)

// Report notifies the owner how an attempt ended. It is resent until a
// ReportAnswer confirms that the ending is durable.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Attempt     uint64
	ID          traffic.OperationID
	Fingerprint uint64
	Ending      Ending
	Result      *traffic.OperationResult
	// ClaimedMillis is the start time of the attempt in Unix milliseconds.
	ClaimedMillis int64
}

// MessageNumber returns 402.
func (Report) MessageNumber() uint16 { return numberReport }

// ReportAnswer acknowledges a Report.
type ReportAnswer struct {
	_       struct{} `cbor:",toarray"`
	To      fleet.Incarnation
	Attempt uint64
	// Durable is true if the ending survives the loss of the owner. Otherwise the
	// requester keeps the report and resends it at a longer interval.
	Durable bool
}

// MessageNumber returns 403.
func (ReportAnswer) MessageNumber() uint16 { return numberReportAnswer }

// HandoverRequest requests the claims of a partition from an earlier owner.
type HandoverRequest struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	// Epoch is the sender's epoch as owner.
	Epoch uint64
	// Tenure is the earlier epoch whose claims are requested.
	Tenure uint64
	// Named is true if the receiver is known to have been the owner in Tenure.
	Named bool
}

// MessageNumber returns 404.
func (HandoverRequest) MessageNumber() uint16 { return numberHandoverRequest }

// HandoverChunk carries some of the claims of a partition.
type HandoverChunk struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Epoch     uint64
	Tenure    uint64
	To        fleet.Incarnation
	Index     uint32
	Last      bool
	// Unserved is true if the sender never loaded the claims of the partition in
	// Tenure and therefore granted none. Records is then empty, and Doubtful
	// reports whether an earlier owner may have granted claims that no log holds.
	Unserved bool
	Doubtful bool
	// UnknownBefore is the sender's value for the partition; see anchor.
	UnknownBefore int64
	Records       []record
}

// MessageNumber returns 405.
func (HandoverChunk) MessageNumber() uint16 { return numberHandoverChunk }

// HandoverOffer asks the owner of a partition whether the sender may delete the
// claims that it still keeps for a handover.
type HandoverOffer struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
}

// MessageNumber returns 406.
func (HandoverOffer) MessageNumber() uint16 { return numberHandoverOffer }

// HandoverDone confirms that the sender serves the partition and that the claims
// of earlier owners are in its log.
type HandoverDone struct {
	_         struct{} `cbor:",toarray"`
	Partition uint8
	Epoch     uint64
}

// MessageNumber returns 407.
func (HandoverDone) MessageNumber() uint16 { return numberHandoverDone }
