package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Line is a log line of an entry host as an event.
type Line struct {
	Event
	// Upstreams are those that the line is about.
	Upstreams []string
}

const (
	// maxLineBytes bounds a log line; a stack trace has a few kilobytes.
	maxLineBytes = 1 << 20
	// relatedTime is how long before a request's line a line about one of its
	// upstreams belongs to it: longer than any request takes, and than an upstream
	// that failed is left alone.
	relatedTime = 5 * time.Second
)

// ReadLines reads log lines, one JSON object each, and numbers them from a first
// number on. Collectors may put words before the object. It also returns the
// number of lines that hold no object with a host and a time, and the error of the
// reader.
func ReadLines(r io.Reader, first uint64) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		line, ok := parseLine(text[max(0, bytes.IndexByte(text, '{')):])
		if !ok {
			skipped++
			continue
		}
		line.Sequence = first
		first++
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parseLine(text []byte) (Line, bool) {
	var known struct {
		Host     fleet.HostID   `json:"host"`
		Time     int64          `json:"time"`
		Message  string         `json:"message"`
		Customer fleet.Customer `json:"customer"`
		Request  string         `json:"request"`
		Outcome  string         `json:"outcome"`
		Upstream string         `json:"upstream"`
		Tried    []string       `json:"tried"`
	}
	var all map[string]any
	if json.Unmarshal(text, &known) != nil || json.Unmarshal(text, &all) != nil || known.Host == "" || known.Time == 0 {
		return Line{}, false
	}
	line := Line{Upstreams: known.Tried, Event: Event{
		Time: Timestamp{WallMillis: known.Time}, Host: known.Host, Kind: kindOf(known.Message, known.Outcome),
		Customer: known.Customer, Request: known.Request, Subject: known.Upstream,
	}}
	if known.Upstream != "" {
		line.Upstreams = append(line.Upstreams, known.Upstream)
	}
	for _, told := range []string{"host", "time", "message", "customer", "request", "upstream"} {
		delete(all, told)
	}
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fields = append(fields, fmt.Sprintf("%s=%v", name, all[name]))
	}
	line.Text = truncate(strings.Join(fields, " "))
	return line, true
}

// kindOf returns the kind of an event: the message with dashes, and the outcome of
// a request behind it.
func kindOf(message, outcome string) string {
	kind := strings.ReplaceAll(message, " ", "-")
	if outcome != "" {
		kind += "." + outcome
	}
	return kind
}

// Match returns the lines that match a filter and, if it is not empty, a host.
func FilterLines(lines []Line, f Filter, host fleet.HostID) []Event {
	var events []Event
	for i := range lines {
		if e := &lines[i].Event; f.matches(e) && (host == "" || host == e.Host) {
			events = append(events, *e)
		}
	}
	return events
}

// Related returns the lines of a request, and those of the same time about the
// upstreams that it was sent to.
func RelatedEvents(lines []Line, request string) []Event {
	var events []Event
	for i := range lines {
		own := &lines[i]
		if own.Request != request {
			continue
		}
		events = append(events, own.Event)
		for k := range lines {
			other := &lines[k]
			before := time.Duration(own.Time.WallMillis-other.Time.WallMillis) * time.Millisecond
			if other.Subject != "" && slices.Contains(own.Upstreams, other.Subject) && before >= 0 && before <= relatedTime {
				events = append(events, other.Event)
			}
		}
	}
	return Merge(events)
}
