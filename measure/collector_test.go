package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/requestlog"
)

func answered(took time.Duration) requestlog.End {
	return requestlog.End{Status: 200, Outcome: problem.OutcomeRun, Elapsed: took}
}

// Guards against requests that never leave the window, or are counted before their
// bucket is complete.
func TestWindowExpiresRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector("r", func() time.Time { return now })
	c.Finish(&requestlog.Trace{Route: "x", Customer: "c"}, answered(5*time.Millisecond))
	require.Empty(t, c.Traffic().Counts)
	for age := bucketSeconds; age <= WindowSeconds; age += bucketSeconds {
		now = time.Unix(1000+int64(age), 0)
		traffic := c.Traffic()
		require.Len(t, traffic.Counts, 1, "age %d s", age)
		require.InDelta(t, 5000, float64(traffic.Latencies[0].Decode().ValueAtQuantile(50)), 50)
	}
	now = time.Unix(1000+WindowSeconds+bucketSeconds, 0)
	require.Empty(t, c.Traffic().Counts)
	c.Finish(&requestlog.Trace{Route: "x"}, requestlog.End{Kind: problem.KindQueueFull, Outcome: problem.OutcomeNotRun})
	now = now.Add(bucketSeconds * time.Second)
	require.Len(t, c.Traffic().Counts, 1)
	require.Empty(t, c.Traffic().Latencies, "refusals have no latency")
}

// Guards against memory and messages that grow with the number of customers, and
// against not counting the requests beyond the limit.
func TestSeriesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector("r", func() time.Time { return now })
	const customers = 2 * maxSeries
	for i := range customers {
		c.Finish(&requestlog.Trace{Customer: fleet.Customer(fmt.Sprint(i))}, answered(time.Hour))
	}
	now = now.Add(bucketSeconds * time.Second)
	traffic := c.Traffic()
	require.LessOrEqual(t, len(traffic.Counts), maxSeries+1)
	require.LessOrEqual(t, len(traffic.Latencies), maxLatencies+1)
	total := uint64(0)
	for _, count := range traffic.Counts {
		total += count.Requests
	}
	require.Equal(t, uint64(customers), total)
}

// BenchmarkFinish measures the cost of counting one request.
func BenchmarkFinish(b *testing.B) {
	c := NewCollector("r", time.Now)
	t := &requestlog.Trace{Route: "x", Customer: "c"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Finish(t, answered(time.Millisecond))
		}
	})
}
