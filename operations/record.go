package operations

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// claimsKind is the store kind of the claim logs.
const claimsKind = "claims"

// Bounds of a stored object and of the parts of a record.
const (
	maxSegmentBytes    = 512 << 10
	maxSegmentRecords  = 16_384
	maxSegmentNesting  = 8
	maxKeptBody        = 16 << 10
	maxContentTypeSize = 256
	recordOverhead     = 64
)

// state is the state of an id.
type state uint8

const (
	stateRunning state = iota + 1
	stateRan
	stateUnknown
	stateFree
)

// record is the state of one id at the time when it was written. The last
// record of an id counts.
type record struct {
	_           struct{} `cbor:",toarray"`
	ID          traffic.OperationID
	Fingerprint uint64
	Holder      fleet.Member
	Attempt     uint64
	State       state
	// ClaimedMillis is when the id was first claimed, Unix milliseconds.
	ClaimedMillis int64
	// Epoch is the epoch of the partition in which the record was written. Records
	// of earlier epochs in the same log were superseded by those of other owners.
	Epoch  uint64
	Result *traffic.OperationResult
}

// size returns an upper bound of the encoded size in bytes.
func (r *record) size() int {
	n := recordOverhead + fleet.IncarnationSize + len(r.ID.Customer) + len(r.ID.Key) + len(r.Holder.Host)
	if r.Result != nil {
		n += recordOverhead + len(r.Result.ContentType) + len(r.Result.Body)
	}
	return n
}

// segment is one object of a claim log.
type segment struct {
	_      struct{} `cbor:",toarray"`
	Owner  fleet.Incarnation
	Number uint64
	// Sealer is set in the segment by which another host ends the log.
	Sealer  fleet.Incarnation
	Records []record
}

// logHead names the segments of a log from which the first ones were removed.
type logHead struct {
	_     struct{} `cbor:",toarray"`
	Owner fleet.Incarnation
	// Kept are numbers below Low that still hold the last record of an id.
	Kept []uint64
	// Low is the first number from which on all segments are kept.
	Low uint64
}

// anchor names the owner whose log holds the claims of a partition.
type anchor struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Owner fleet.Member
	// UnknownBefore is the time of the last takeover from an owner that may have
	// granted claims that no log holds, Unix milliseconds; 0 for none.
	UnknownBefore int64
}

// SegmentError reports an object of a claim log that can't be used.
type SegmentError struct {
	Object string
	Reason string
	Cause  error
}

func (e *SegmentError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("claim log object %s: %s", e.Object, e.Reason)
	}
	return fmt.Sprintf("claim log object %s: %s: %v", e.Object, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *SegmentError) Unwrap() error { return e.Cause }

var objectDecoder = newObjectDecoder()

func newObjectDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxSegmentRecords,
		MaxNestedLevels:  maxSegmentNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeObject returns the stored form of a segment, a head or an anchor. None
// of them has a part that can't be encoded.
func encodeObject(object any) []byte {
	value, err := cbor.Marshal(object)
	if err != nil {
		panic(err)
	}
	return value
}

func decodeObject(key machine.StoreKey, value []byte, object any) error {
	if err := objectDecoder.Unmarshal(value, object); err != nil {
		return &SegmentError{Object: key.Name, Reason: "decode", Cause: err}
	}
	return nil
}

// decodeSegment returns a segment whose records are within their bounds.
func decodeSegment(key machine.StoreKey, value []byte) (*segment, error) {
	s := &segment{}
	if err := decodeObject(key, value, s); err != nil {
		return nil, err
	}
	if segmentKey(s.Owner, s.Number) != key {
		return nil, &SegmentError{Object: key.Name, Reason: "is of another log"}
	}
	for i := range s.Records {
		if err := s.Records[i].check(); err != "" {
			return nil, &SegmentError{Object: key.Name, Reason: err}
		}
	}
	return s, nil
}

// check returns what is wrong with a record, or nothing.
func (r *record) check() string {
	switch {
	case r.State < stateRunning || r.State > stateFree:
		return "unknown state"
	case (r.State == stateRan) != (r.Result != nil):
		return "result without completion"
	case r.Result != nil && len(r.Result.Body) > maxKeptBody:
		return "result too large"
	}
	return ""
}

func segmentKey(owner fleet.Incarnation, number uint64) machine.StoreKey {
	return machine.StoreKey{Kind: claimsKind, Name: owner.String() + "-" + strconv.FormatUint(number, 10)}
}

func headKey(owner fleet.Incarnation) machine.StoreKey {
	return machine.StoreKey{Kind: claimsKind, Name: owner.String() + "-head"}
}

func anchorKey(partition int) machine.StoreKey {
	return machine.StoreKey{Kind: claimsKind, Name: "partition-" + strconv.Itoa(partition)}
}

// PartitionOf returns the partition of an operation id.
func PartitionOf(id traffic.OperationID) int {
	h := xxhash.New()
	_, _ = h.WriteString(string(id.Customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id.Key)
	return int(h.Sum64() % fleet.Partitions)
}
