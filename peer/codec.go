package peer

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/machine"
)

// Limits of a message. The decoder rejects arrays and maps with more than
// maxElements elements, and values nested deeper than maxNesting levels.
const (
	// MaxMessageSize is the size of the largest message in bytes. A
	// configuration shard of 1 MiB fits with its envelope.
	MaxMessageSize = 1<<20 + 64<<10
	maxElements    = 128 << 10
	maxNesting     = 16
)

// numberSize is the size in bytes of the message number before the CBOR item.
const numberSize = 2

// Codec encodes the registered message types. It is safe for concurrent use.
type Codec struct {
	types  map[uint16]machine.MessageType
	encode cbor.EncMode
	decode cbor.DecMode
}

// NewCodec returns a codec for message types. It returns a *MessageError if a
// number is registered twice.
func NewCodec(types []machine.MessageType) (*Codec, error) {
	encode, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		return nil, &MessageError{Reason: "encoder options", Cause: err}
	}
	decode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		return nil, &MessageError{Reason: "decoder options", Cause: err}
	}
	c := &Codec{types: map[uint16]machine.MessageType{}, encode: encode, decode: decode}
	for _, t := range types {
		if _, exists := c.types[t.Number]; exists {
			return nil, &MessageError{Number: t.Number, Reason: "registered twice"}
		}
		c.types[t.Number] = t
	}
	return c, nil
}

// Encode returns the wire form of a message: its number and a CBOR item. It
// returns a *MessageError for an unregistered type or a message larger than
// MaxMessageSize.
func (c *Codec) Encode(message machine.Message) ([]byte, error) {
	number := message.MessageNumber()
	if _, known := c.types[number]; !known {
		return nil, &MessageError{Number: number, Reason: "not registered"}
	}
	payload, err := c.encode.Marshal(message)
	if err != nil {
		return nil, &MessageError{Number: number, Reason: "encode", Cause: err}
	}
	if len(payload)+numberSize > MaxMessageSize {
		return nil, &MessageError{Number: number, Reason: "too large"}
	}
	wire := make([]byte, 0, numberSize+len(payload))
	wire = binary.BigEndian.AppendUint16(wire, number)
	return append(wire, payload...), nil
}

// Decode is the inverse of Encode. It returns a *MessageError for invalid input.
func (c *Codec) Decode(wire []byte) (machine.Message, error) {
	if len(wire) < numberSize || len(wire) > MaxMessageSize {
		return nil, &MessageError{Reason: "wrong size"}
	}
	number := binary.BigEndian.Uint16(wire)
	t, known := c.types[number]
	if !known {
		return nil, &MessageError{Number: number, Reason: "not registered"}
	}
	pointer := t.New()
	if err := c.decode.Unmarshal(wire[numberSize:], pointer); err != nil {
		return nil, &MessageError{Number: number, Reason: "decode", Cause: err}
	}
	return t.Value(pointer), nil
}
