package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

// errorAs wraps errors.As for use in conditions.
func errorAs(err error, target any) bool { return errors.As(err, target) }

func newTestCodec(t testing.TB) *Codec {
	t.Helper()
	codec, err := NewCodec(testMessageTypes)
	require.NoError(t, err)
	return codec
}

// TestCodecBounds guards against input that makes the decoder exceed its limits,
// and against two message types with one number.
func TestCodecBounds(t *testing.T) {
	codec := newTestCodec(t)
	header := []byte{0x03, 0x84}
	nested := append(bytes.Clone(header), bytes.Repeat([]byte{0x81}, maxNesting+2)...)
	longArray := append(bytes.Clone(header), 0x9a, 0x7f, 0xff, 0xff, 0xff)
	inputs := [][]byte{nil, header, {0, 1, 0x80}, nested, longArray, make([]byte, MaxMessageSize+1)}
	for _, wire := range inputs {
		_, err := codec.Decode(wire)
		var messageErr *MessageError
		require.ErrorAs(t, err, &messageErr)
	}
	_, err := NewCodec(append([]machine.MessageType{machine.TypeOf[testMessage]()}, testMessageTypes...))
	require.Error(t, err)
}

// FuzzDecode guards against a panic on any input, and against a decoded message
// that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	codec := newTestCodec(f)
	for _, m := range []testMessage{{}, {Index: 1}, {Index: -5, Body: []byte("body")}} {
		wire, err := codec.Encode(m)
		require.NoError(f, err)
		f.Add(wire)
	}
	f.Fuzz(func(t *testing.T, wire []byte) {
		message, err := codec.Decode(wire)
		if err != nil {
			return
		}
		reencoded, err := codec.Encode(message)
		require.NoError(t, err)
		decoded, err := codec.Decode(reencoded)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	})
}
