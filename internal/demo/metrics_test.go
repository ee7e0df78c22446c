package demo

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// metricsOf returns the names and types that a host exports.
func metricsOf(t *testing.T, h *Host) map[string]string {
	response, err := http.Get(h.operatorsURL("/metrics"))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	metrics := map[string]string{}
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`).FindAllStringSubmatch(string(text), -1) {
		metrics[match[1]] = match[2]
	}
	return metrics
}

// Guards against a page of metrics that names others than a running host has.
// Names with a part in capitals stand for a fixed set of names.
func TestMetricsAreDocumented(t *testing.T) {
	ctx := testContext(t)
	d := &desk{t: t, ctx: ctx, f: startSmall(ctx, t, 1)}
	d.get(d.f.Hosts[0], "/nowhere", "none")
	d.get(d.f.Hosts[0], "/katalog/1", "none")
	exported := metricsOf(t, d.f.Hosts[0])
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	documented := map[string]string{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\w+) \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		documented[match[1]] = match[2]
	}
	pattern := regexp.MustCompile(`[A-Z]+`)
	used := map[string]bool{}
	for name, kind := range exported {
		found := ""
		for row := range documented {
			if regexp.MustCompile("^"+pattern.ReplaceAllString(row, "[a-z0-9_]+")+"$").MatchString(name) && len(row) > len(found) {
				found = row
			}
		}
		require.NotEmpty(t, found, "%s (%s) is not in metrics.md", name, kind)
		require.Equal(t, documented[found], kind, name)
		used[found] = true
	}
	for row := range documented {
		require.True(t, used[row], "no host exports %s", row)
	}
	require.False(t, strings.Contains(string(page), "TODO"))
}
