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

// Line is an event that was read from a log line of an entry host.
type Line struct {
	Event
	// Upstreams are the upstreams that the line mentions.
	Upstreams []string
}

const (
	// maxLineBytes bounds a log line; a stack trace has a few kilobytes.
	maxLineBytes = 1 << 20
	// relatedWindow is how long before the line of a request a line about one of its
	// upstreams counts as related. It is longer than any request takes, and longer
	// than hosts avoid a failed upstream.
	relatedWindow = 5 * time.Second
)

// ReadLines reads log lines, one JSON object each, and numbers them starting with
// first. Log collectors may put a prefix before the object. It also returns the
// number of lines without an object that has a host and a time, and the error of
// the reader.
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
	var fields struct {
		Host     fleet.HostID   `json:"host"`
		Time     int64          `json:"time"`
		Message  string         `json:"message"`
		Customer fleet.Customer `json:"customer"`
		Request  string         `json:"request"`
		Outcome  string         `json:"outcome"`
		Upstream string         `json:"upstream"`
		Tried    []string       `json:"tried"`
	}
	var extra map[string]any
	if json.Unmarshal(text, &fields) != nil || json.Unmarshal(text, &extra) != nil || fields.Host == "" || fields.Time == 0 {
		return Line{}, false
	}
	line := Line{Upstreams: fields.Tried, Event: Event{
		Time: Timestamp{WallMillis: fields.Time}, Host: fields.Host, Kind: eventKind(fields.Message, fields.Outcome),
		Customer: fields.Customer, Request: fields.Request, Subject: fields.Upstream,
	}}
	if fields.Upstream != "" {
		line.Upstreams = append(line.Upstreams, fields.Upstream)
	}
	for _, parsed := range []string{"host", "time", "message", "customer", "request", "upstream"} {
		delete(extra, parsed)
	}
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(extra)) {
		texts = append(texts, fmt.Sprintf("%s=%v", name, extra[name]))
	}
	line.Text = truncate(strings.Join(texts, " "))
	return line, true
}

// eventKind returns the kind of an event: the message with dashes instead of spaces,
// followed by the outcome of a request, if any.
func eventKind(message, outcome string) string {
	kind := strings.ReplaceAll(message, " ", "-")
	if outcome != "" {
		kind += "." + outcome
	}
	return kind
}

// FilterLines returns the events that match a filter and, if it is not empty, a host.
func FilterLines(lines []Line, f Filter, host fleet.HostID) []Event {
	var events []Event
	for i := range lines {
		if e := &lines[i].Event; f.matches(e) && (host == "" || host == e.Host) {
			events = append(events, *e)
		}
	}
	return events
}

// RelatedEvents returns the events of a request, and those about its upstreams from up
// to relatedWindow before.
func RelatedEvents(lines []Line, request string) []Event {
	var events []Event
	for i := range lines {
		requestLine := &lines[i]
		if requestLine.Request != request {
			continue
		}
		events = append(events, requestLine.Event)
		for j := range lines {
			other := &lines[j]
			before := time.Duration(requestLine.Time.WallMillis-other.Time.WallMillis) * time.Millisecond
			if other.Subject != "" && slices.Contains(requestLine.Upstreams, other.Subject) && before >= 0 && before <= relatedWindow {
				events = append(events, other.Event)
			}
		}
	}
	return Merge(events)
}
