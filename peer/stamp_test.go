package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/timeline"
)

// Guards against an effect that the timeline shows before its cause when the
// sender's clock is ahead of the receiver's.
func TestMessagesOrderEvents(t *testing.T) {
	now := time.Now().UnixMilli()
	sender := &Transport{config: Config{Timeline: &timeline.Clock{}}}
	receiver := &Transport{config: Config{Timeline: &timeline.Clock{}}}
	cause := sender.config.Timeline.Next(now + 30_000)
	message, ok := receiver.observe(sender.stamp([]byte("message")))
	require.True(t, ok)
	require.Equal(t, []byte("message"), message)
	require.Equal(t, 1, receiver.config.Timeline.Next(now).Compare(cause))
}

// Guards against a crash on a message that is shorter than its timestamp.
func TestShortMessageIsDropped(t *testing.T) {
	_, ok := (&Transport{}).observe(make([]byte, stampSize-1))
	require.False(t, ok)
}
