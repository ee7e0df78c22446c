package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/timeline"
)

// Guards against a timeline that shows an effect before its cause when the
// sender's clock is ahead of the receiver's.
func TestTimestampsOrderEvents(t *testing.T) {
	now := time.Now().UnixMilli()
	sender := &Transport{config: Config{Timeline: &timeline.Clock{}}}
	receiver := &Transport{config: Config{Timeline: &timeline.Clock{}}}
	cause := sender.config.Timeline.Next(now + 30_000)
	message, ok := receiver.observeTimestamp(sender.appendTimestamp([]byte("message")))
	require.True(t, ok)
	require.Equal(t, []byte("message"), message)
	require.Equal(t, 1, receiver.config.Timeline.Next(now).Compare(cause))
}

// Guards against a crash on a message that is shorter than its timestamp.
func TestShortMessageIsDropped(t *testing.T) {
	_, ok := (&Transport{}).observeTimestamp(make([]byte, timestampSize-1))
	require.False(t, ok)
}
