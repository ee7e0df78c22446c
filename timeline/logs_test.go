package timeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleLines are log lines of a replayed day (inc-eb68 of chumvi-logs) without the
// fields that do not matter here.
const sampleLines = `   6.0308 edge-pwani-bagamoyo-3 {"level":"info","host":"edge-pwani-bagamoyo-3","request":"edc400b2b5e2ea4a","status":504,"outcome":"timed_out","took":1000.421571,"version":11,"customer":"deti400","tried":["i-f6f8778194"],"last":"timed_out","time":1782966693975,"message":"request"}
{"level":"info","host":"edge-pwani-bagamoyo-3","upstream":"i-04425d4fe4","request":"8fc260eccfc83984","change":"unreachable","time":1782966693985,"message":"upstream changed"}
{"level":"info","host":"edge-lindi-kilwa-1","upstream":"i-f6f8778194","service":"wuvo40a","change":"added","store":34,"time":1782966692000,"message":"upstream changed"}
built in 3.4 s; 42767 lines in 334 files
{"level":"info","host":"edge-lindi-kilwa-1","upstream":"i-f6f8778194","change":"removed","time":1782966699000,"message":"upstream changed"}
{"level":"info","message":"no host and no time"}
`

func readSampleLines(t *testing.T) []Line {
	t.Helper()
	lines, skipped, err := ReadLines(strings.NewReader(sampleLines), 1)
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	require.Len(t, lines, 4)
	return lines
}

// Guards against losing lines to which a log collector added a prefix, and against
// reading the lines of other programs as events.
func TestReadLines(t *testing.T) {
	first := readSampleLines(t)[0]
	require.Equal(t, "request.timed_out", first.Kind)
	require.Equal(t, "edc400b2b5e2ea4a", first.Request)
	require.Equal(t, []string{"i-f6f8778194"}, first.Upstreams)
	require.Contains(t, first.Text, "status=504")
	require.NotContains(t, first.Text, "edc400b2b5e2ea4a")
}

// Guards against an explanation of a request that lacks the preceding events of its
// upstream, or includes events from long after.
func TestRelatedIncludesUpstreamEvents(t *testing.T) {
	events := RelatedEvents(readSampleLines(t), "edc400b2b5e2ea4a")
	require.Len(t, events, 2)
	require.Equal(t, "upstream-changed", events[0].Kind)
	require.Contains(t, events[0].Text, "change=added")
	require.Equal(t, "request.timed_out", events[1].Kind)
	require.Empty(t, RelatedEvents(readSampleLines(t), "unknown"))
}

func TestFilterLines(t *testing.T) {
	lines := readSampleLines(t)
	require.Len(t, FilterLines(lines, Filter{Kind: "request."}, ""), 1)
	require.Len(t, FilterLines(lines, Filter{Kind: "upstream-changed"}, "edge-lindi-kilwa-1"), 2)
	require.Len(t, FilterLines(lines, Filter{FromMillis: 1782966693980}, ""), 2)
}

// Guards against input that aborts the command instead of being skipped.
func FuzzReadLines(f *testing.F) {
	f.Add(sampleLines)
	f.Add("{")
	f.Add(`{"host":1,"time":"x"}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, _ := ReadLines(strings.NewReader(text), 1)
		for _, l := range lines {
			require.NotEmpty(t, l.Host)
			require.LessOrEqual(t, len(l.Text), MaxTextBytes)
		}
	})
}
