package peer

import (
	"encoding/binary"
	"time"

	"github.com/catkinspring/catkinspring/timeline"
)

// timestampSize is the size in bytes of the timestamp at the end of each message:
// wall clock in milliseconds and logical counter.
const timestampSize = 8 + 4

// appendTimestamp appends the send time to a message, so that the receiver's events
// after the message are ordered after the sender's events before it.
func (t *Transport) appendTimestamp(wire []byte) []byte {
	var now timeline.Timestamp
	if t.config.Timeline != nil {
		now = t.config.Timeline.Next(time.Now().UnixMilli())
	}
	wire = binary.BigEndian.AppendUint64(wire, uint64(now.WallMillis))
	return binary.BigEndian.AppendUint32(wire, now.Logical)
}

// observeTimestamp removes the timestamp from a message and advances the clock past
// it. It returns false for a message that is too short. A timestamp that is far
// ahead is ignored, but its message is accepted.
func (t *Transport) observeTimestamp(wire []byte) ([]byte, bool) {
	if len(wire) < timestampSize {
		return nil, false
	}
	message, trailer := wire[:len(wire)-timestampSize], wire[len(wire)-timestampSize:]
	if t.config.Timeline != nil {
		sent := timeline.Timestamp{WallMillis: int64(binary.BigEndian.Uint64(trailer)), Logical: binary.BigEndian.Uint32(trailer[8:])}
		t.config.Timeline.Observe(sent, time.Now().UnixMilli())
	}
	return message, true
}
