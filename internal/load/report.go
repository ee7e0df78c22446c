package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
)

// Range of the latency histograms in microseconds, and their significant digits.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Summary aggregates the requests of one customer.
type Summary struct {
	Customer fleet.Customer
	Verdicts map[Verdict]int
	// Latency holds the latencies of answered requests in microseconds, from the
	// intended start.
	Latency *hdrhistogram.Histogram
	// Retries counts the attempts after the first one of each request.
	Retries int
}

// Sent returns the number of requests with any verdict, NotSent included.
func (s *Summary) Sent() int {
	n := 0
	for _, count := range s.Verdicts {
		n += count
	}
	return n
}

// Quantile returns a latency percentile of the answered requests; percent is 0 to
// 100.
func (s *Summary) Quantile(percent float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

func (s *Summary) add(r *Record) {
	s.Verdicts[r.Verdict]++
	s.Retries += max(0, len(r.Attempts)-1)
	if r.Verdict == Answered {
		// The clamped value is in range, so RecordValue can't fail.
		_ = s.Latency.RecordValue(max(lowestLatency, min(highestLatency, r.Latency().Microseconds())))
	}
}

// Summaries returns one summary per customer, sorted by customer ID.
func (r *Result) Summaries() []*Summary {
	byCustomer := map[fleet.Customer]*Summary{}
	var list []*Summary
	for i := range r.Records {
		record := &r.Records[i]
		s := byCustomer[record.Customer]
		if s == nil {
			s = &Summary{
				Customer: record.Customer,
				Verdicts: map[Verdict]int{},
				Latency:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
			}
			byCustomer[record.Customer] = s
			list = append(list, s)
		}
		s.add(record)
	}
	slices.SortFunc(list, func(a, b *Summary) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1
	})
	return list
}

// WriteTable writes one line per customer.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\tsent\tanswered\trefused\tunknown\twrong\tnot sent\trepeats\tp50\tp99\tp99.9\t")
	for _, s := range r.Summaries() {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", s.Customer, s.Sent(),
			s.Verdicts[Answered], s.Verdicts[RefusedNotRun], s.Verdicts[Unknown], s.Verdicts[Wrong], s.Verdicts[NotSent],
			s.Retries, formatLatency(s.Quantile(50)), formatLatency(s.Quantile(99)), formatLatency(s.Quantile(99.9)))
	}
	return eris.Wrap(table.Flush(), "load table")
}

func formatLatency(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// WriteRecords writes one JSON object per request.
func (r *Result) WriteRecords(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for i := range r.Records {
		if err := encoder.Encode(&r.Records[i]); err != nil {
			return eris.Wrap(err, "request records")
		}
	}
	return nil
}
