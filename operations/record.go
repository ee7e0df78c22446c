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

// Limits on a stored object and on the fields of a record.
const (
	maxSegmentBytes     = 512 << 10
	maxSegmentRecords   = 16_384
	maxSegmentNesting   = 8
	maxKeptBodyBytes    = 16 << 10
	maxContentTypeBytes = 256
	recordOverheadBytes = 64
)

// state is the state of an operation id.
type state uint8

const (
	stateRunning state = iota + 1
	stateRan
	stateUnknown
	stateFree
)

// record is the state of one operation id as of the time it was written. The
// last record of an id in a log is the valid one.
type record struct {
	_           struct{} `cbor:",toarray"`
	ID          traffic.OperationID
	Fingerprint uint64
	Holder      fleet.Member
	Attempt     uint64
	State       state
	// ClaimedMillis is the time of the id's last claim in Unix milliseconds.
	ClaimedMillis int64
	// Epoch is the partition epoch in which the record was written. Records of
	// earlier epochs in the same log were superseded by those of other owners.
	Epoch  uint64
	Result *traffic.OperationResult
}

// size returns an upper bound of the encoded size in bytes.
func (r *record) size() int {
	n := recordOverheadBytes + fleet.IncarnationSize + len(r.ID.Customer) + len(r.ID.Key) + len(r.Holder.Host)
	if r.Result != nil {
		n += recordOverheadBytes + len(r.Result.ContentType) + len(r.Result.Body)
	}
	return n
}

// segment is one object of a claim log.
type segment struct {
	_      struct{} `cbor:",toarray"`
	Owner  fleet.Incarnation
	Number uint64
	// Sealer is set only in the segment with which another host seals the log.
	Sealer  fleet.Incarnation
	Records []record
}

// logHead lists the remaining segments of a log that was compacted.
type logHead struct {
	_     struct{} `cbor:",toarray"`
	Owner fleet.Incarnation
	// Kept are the segments below Low that still hold the last record of an id.
	Kept []uint64
	// Low is the first number from which all segments are kept.
	Low uint64
}

// anchor points to the owner whose log holds the claims of a partition.
type anchor struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Owner fleet.Member
	// UnknownBefore is the time of the last takeover from an owner that may have
	// granted claims that no log holds, in Unix milliseconds; 0 if there was none.
	UnknownBefore int64
}

// SegmentError reports an invalid object of a claim log.
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

// encodeObject encodes a segment, logHead or anchor. It panics on an error, which
// their field types rule out.
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

// decodeSegment decodes a segment and validates its records.
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

// check returns what is invalid in a record, or the empty string.
func (r *record) check() string {
	switch {
	case r.State < stateRunning || r.State > stateFree:
		return "unknown state"
	case (r.State == stateRan) != (r.Result != nil):
		return "result without completion"
	case r.Result != nil && len(r.Result.Body) > maxKeptBodyBytes:
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
