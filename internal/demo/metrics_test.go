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

// metricsOf returns the types of the metrics that a host exports, by name.
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

// Guards against differences between the documented metrics and those that a running
// host exports. Capitals in a documented name are a placeholder for part of the name.
func TestMetricsAreDocumented(t *testing.T) {
	ctx := testContext(t)
	cli := &operatorCLI{t: t, ctx: ctx, f: startSmall(ctx, t, 1)}
	cli.get(cli.f.Hosts[0], "/nowhere", "none")
	cli.get(cli.f.Hosts[0], "/katalog/1", "none")
	exported := metricsOf(t, cli.f.Hosts[0])
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	documented := map[string]string{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\w+) \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		documented[match[1]] = match[2]
	}
	placeholder := regexp.MustCompile(`[A-Z]+`)
	matched := map[string]bool{}
	for name, kind := range exported {
		found := ""
		for row := range documented {
			if regexp.MustCompile("^"+placeholder.ReplaceAllString(row, "[a-z0-9_]+")+"$").MatchString(name) && len(row) > len(found) {
				found = row
			}
		}
		require.NotEmpty(t, found, "%s (%s) is not in metrics.md", name, kind)
		require.Equal(t, documented[found], kind, name)
		matched[found] = true
	}
	for row := range documented {
		require.True(t, matched[row], "no host exports %s", row)
	}
	require.False(t, strings.Contains(string(page), "TODO"))
}
