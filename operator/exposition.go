package operator

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "catkinspring_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteMetrics writes all metrics of a registry in the text exposition format,
// version 0.0.4, sorted by name. It writes histograms and timers as summaries and
// meters as counters. Timers are in nanoseconds, as recorded.
func WriteMetrics(out *bytes.Buffer, registry metrics.Registry) {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		writeMetric(out, metricName(name), all[name])
	}
}

func writeMetric(out *bytes.Buffer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(out, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeSample(out, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(out, name, "gauge", m.Value())
	case metrics.Meter:
		writeSample(out, name, "counter", float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(out, name, s.Percentiles(quantiles), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(out, name, s.Percentiles(quantiles), s.Count())
	}
}

func writeSample(out *bytes.Buffer, name, kind string, value float64) {
	fmt.Fprintf(out, "# TYPE %s %s\n%s %s\n", name, kind, name, formatNumber(value))
}

// writeSummary writes quantiles of the recent values and the count of all values.
// It omits the optional sum, because go-metrics sums only the values of its sample.
func writeSummary(out *bytes.Buffer, name string, values []float64, count int64) {
	fmt.Fprintf(out, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(out, "%s{quantile=\"%s\"} %s\n", name, formatNumber(q), formatNumber(values[i]))
	}
	fmt.Fprintf(out, "%s_count %d\n", name, count)
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// metricName converts a registry name to the characters that the format allows.
func metricName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		switch {
		case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9', r == '_':
			return r
		}
		return '_'
	}, name)
}
