package peer

import (
	"encoding/binary"
	"time"

	"github.com/catkinspring/catkinspring/timeline"
)

// stampSize is the size of the timestamp at the end of each message: wall clock
// in milliseconds and logical counter.
const stampSize = 8 + 4

// stamp appends the time at which a message is sent, so that every event of the
// receiver after the message is ordered after the sender's events before it.
func (t *Transport) stamp(wire []byte) []byte {
	var now timeline.Timestamp
	if t.config.Timeline != nil {
		now = t.config.Timeline.Next(time.Now().UnixMilli())
	}
	wire = binary.BigEndian.AppendUint64(wire, uint64(now.WallMillis))
	return binary.BigEndian.AppendUint32(wire, now.Logical)
}

// observe takes the timestamp off a message and moves the clock past it. It
// returns false for a message that is too short. A timestamp that is far ahead
// is ignored; the message counts all the same.
func (t *Transport) observe(wire []byte) ([]byte, bool) {
	if len(wire) < stampSize {
		return nil, false
	}
	message, tail := wire[:len(wire)-stampSize], wire[len(wire)-stampSize:]
	if t.config.Timeline != nil {
		sent := timeline.Timestamp{WallMillis: int64(binary.BigEndian.Uint64(tail)), Logical: binary.BigEndian.Uint32(tail[8:])}
		t.config.Timeline.Observe(sent, time.Now().UnixMilli())
	}
	return message, true
}
