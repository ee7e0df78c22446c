package timeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

func noRedaction(text string) string { return text }

// Guards against ordering an effect before its cause when the receiver's wall clock
// is behind the sender's.
func TestObservedTimestampOrdersLaterEvents(t *testing.T) {
	var sender, receiver Clock
	sent := sender.Next(5_000)
	require.True(t, receiver.Observe(sent, 1_000))
	require.Equal(t, 1, receiver.Next(1_001).Compare(sent))
}

// Guards against one host with a wrong clock advancing the clocks of all others.
func TestObserveRejectsTimestampFarAhead(t *testing.T) {
	var c Clock
	require.False(t, c.Observe(Timestamp{WallMillis: 10_000 + MaxAheadMillis + 1}, 10_000))
	require.Equal(t, Timestamp{WallMillis: 10_001}, c.Next(10_001))
}

// Guards against reordering the events of one host when its wall clock jumps back.
func TestClockNeverGoesBack(t *testing.T) {
	var c Clock
	first := c.Next(10_000)
	require.Equal(t, 1, c.Next(9_000).Compare(first))
}

// Guards against a ring that grows without bound or returns events out of order
// after it wraps around.
func TestRingKeepsTheLastEvents(t *testing.T) {
	r := NewRing("h1", &Clock{}, 3, noRedaction)
	for i := range 8 {
		r.Record(int64(i), machine.Event{Kind: "test", Text: strings.Repeat("x", i)})
	}
	events := r.Select(Filter{}, 10)
	require.Len(t, events, 3)
	require.Equal(t, []uint64{6, 7, 8}, []uint64{events[0].Sequence, events[1].Sequence, events[2].Sequence})
}

// Guards against customers' keys on the timeline.
func TestRingRedactsEveryText(t *testing.T) {
	r := NewRing("h1", &Clock{}, 3, func(string) string { return "redacted" })
	r.Record(1, machine.Event{Kind: "test", Subject: "secret", Request: "secret", Text: "secret"})
	e := r.Select(Filter{}, 1)[0]
	require.Equal(t, []string{"redacted", "redacted", "redacted"}, []string{e.Subject, e.Request, e.Text})
}

// Guards against duplicates and an order that depends on the merging host.
func TestMergeIsDeterministic(t *testing.T) {
	a := []Event{{Time: Timestamp{WallMillis: 2}, Host: "a", Sequence: 1}}
	b := []Event{{Time: Timestamp{WallMillis: 1}, Host: "b", Sequence: 1}}
	require.Equal(t, Merge(a, b, a), Merge(b, a))
	require.Len(t, Merge(a, b, a), 2)
}

// Guards against returning the oldest events instead of the newest, and against
// time and kind filters that let other events through.
func TestLastReturnsTheNewestMatchingEvents(t *testing.T) {
	r := NewRing("h1", &Clock{}, 8, noRedaction)
	for i := range int64(8) {
		r.Record(100+i, machine.Event{Kind: []string{"request.refused", "requested"}[i%2]})
	}
	events, newest := r.Last(Filter{Kind: "request.", FromMillis: 102, ToMillis: 106}, 1)
	require.Equal(t, uint64(8), newest)
	require.Len(t, events, 1)
	require.Equal(t, int64(104), events[0].Time.WallMillis)
	events, _ = r.Last(Filter{AfterSequence: newest}, 8)
	require.Empty(t, events)
	events, _ = r.Last(Filter{AfterSequence: newest + 1}, 8)
	require.Len(t, events, 8, "a cursor of an earlier process must not hide events")
}
