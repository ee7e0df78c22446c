package peer

import (
	"encoding/binary"
	"time"
)

const (
	// replayPeriod is the time after which replayFilter begins to forget a nonce; it
	// remembers it for at least as long, and for at most twice that.
	replayPeriod = 30 * time.Second
	// maxRemembered bounds the nonces of one period: 1,000 messages per second.
	maxRemembered = 30_000
)

// replayFilter recognizes datagrams that were received before. Nonces are random, so that
// eight of their bytes are enough. It is not safe for concurrent use.
type replayFilter struct {
	current, previous map[uint64]struct{}
	since             time.Time
}

// isNew reports whether a nonce was not seen before, and remembers it.
func (f *replayFilter) isNew(now time.Time, nonce []byte) bool {
	if f.current == nil || now.Sub(f.since) >= replayPeriod || len(f.current) >= maxRemembered {
		f.current, f.previous, f.since = map[uint64]struct{}{}, f.current, now
	}
	id := binary.LittleEndian.Uint64(nonce)
	_, inCurrent := f.current[id]
	_, inPrevious := f.previous[id]
	f.current[id] = struct{}{}
	return !inCurrent && !inPrevious
}
