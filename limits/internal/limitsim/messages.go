package limitsim

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/machine"
)

// countMessages counts the messages that a host sends and their size in CBOR,
// without the framing of the peer connection.
func (w *World) countMessages(out []machine.Output) {
	if !w.CountMessages || !w.counting() {
		return
	}
	for _, o := range out {
		send, ok := o.(machine.Send)
		if !ok {
			continue
		}
		encoded, err := cbor.Marshal(send.Message)
		if err != nil {
			w.recordViolation("message %T can't be encoded: %v", send.Message, err)
		}
		w.Counts.Messages++
		w.Counts.ByType[send.Message.MessageNumber()]++
		w.Counts.Bytes += len(encoded)
	}
}
