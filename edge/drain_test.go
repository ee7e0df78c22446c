package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that sends a request to an upstream and ends before the
// response, and against one that refuses requests which it can answer.
func TestStoppingHostSendsOnlyWhatItCanAnswer(t *testing.T) {
	began := time.Unix(1000, 0)
	stop := &plannedStop{began: began, grace: 6 * time.Second}
	const average = 500 * time.Millisecond
	for name, c := range map[string]struct {
		now, deadline, serviceTime time.Duration
		want                       bool
	}{
		"deadline passes in time":            {2 * time.Second, 5 * time.Second, 0, true},
		"late, deadline passes in time":      {4 * time.Second, 5 * time.Second, average, true},
		"early, long deadline, usual time":   {time.Second, 9 * time.Second, average, true},
		"early, long deadline, slow service": {time.Second, 9 * time.Second, 2 * time.Second, false},
		"early, long deadline, unknown time": {time.Second, 9 * time.Second, 0, false},
		"late, long deadline":                {3100 * time.Millisecond, 9 * time.Second, average, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, stop.allowsAttempt(began.Add(c.now), began.Add(c.deadline), c.serviceTime))
		})
	}
	long := &plannedStop{began: began, grace: 30 * time.Second}
	require.False(t, long.allowsAttempt(began.Add(4*time.Second), began.Add(time.Minute), average), "a long grace period has the same early part")
}
