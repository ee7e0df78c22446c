package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

// assertAs is errors.As, for use in conditions.
func assertAs(err error, target any) bool { return errors.As(err, target) }

func newTestCodec(t testing.TB) *Codec {
	t.Helper()
	codec, err := NewCodec(noteTypes)
	require.NoError(t, err)
	return codec
}

// TestCodecBounds guards against input that makes the decoder use more than its
// bounds, and against two messages under one number.
func TestCodecBounds(t *testing.T) {
	codec := newTestCodec(t)
	head := []byte{0x03, 0x84}
	nested := append(bytes.Clone(head), bytes.Repeat([]byte{0x81}, maxNesting+2)...)
	long := append(bytes.Clone(head), 0x9a, 0x7f, 0xff, 0xff, 0xff)
	inputs := [][]byte{nil, head, {0, 1, 0x80}, nested, long, make([]byte, MaxMessageSize+1)}
	for _, wire := range inputs {
		_, err := codec.Decode(wire)
		var message *MessageError
		require.ErrorAs(t, err, &message)
	}
	_, err := NewCodec(append([]machine.MessageType{machine.TypeOf[note]()}, noteTypes...))
	require.Error(t, err)
}

// FuzzDecode guards against a panic on any input, and against a decoded message
// that does not survive another round.
func FuzzDecode(f *testing.F) {
	codec := newTestCodec(f)
	for _, m := range []note{{}, {Index: 1}, {Index: -5, Body: []byte("body")}} {
		wire, err := codec.Encode(m)
		require.NoError(f, err)
		f.Add(wire)
	}
	f.Fuzz(func(t *testing.T, wire []byte) {
		message, err := codec.Decode(wire)
		if err != nil {
			return
		}
		again, err := codec.Encode(message)
		require.NoError(t, err)
		decoded, err := codec.Decode(again)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	})
}
