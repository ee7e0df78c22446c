package main

import (
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/operator/client"
	"github.com/catkinspring/catkinspring/timeline"
)

// logFlags select log files of entry hosts to read instead of connecting to hosts.
type logFlags struct {
	Logs []string `type:"path" placeholder:"FILE" sep:"none" help:"Read the log lines of entry hosts from this file instead of asking the hosts; - is standard input. May be given several times."`
}

// lines reads all files. It prints to standard error how many lines are not log lines
// of an entry host.
func (f logFlags) lines(con *console) ([]timeline.Line, error) {
	var all []timeline.Line
	for _, name := range f.Logs {
		lines, skipped, err := readLogFile(name, uint64(len(all))+1)
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		if skipped > 0 {
			con.warnf("%s: %d lines are no log lines of an entry host\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLogFile(name string, first uint64) ([]timeline.Line, int, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	return timeline.ReadLines(in, first)
}

// filterTimeline returns the lines that match a query as a timeline.
func filterTimeline(lines []timeline.Line, q client.EventQuery) client.Timeline {
	f := timeline.Filter{Kind: q.Kind, Customer: q.Customer, Request: q.Request, Subject: q.Subject}
	if !q.From.IsZero() {
		f.FromMillis = q.From.UnixMilli()
	}
	if !q.To.IsZero() {
		f.ToMillis = q.To.UnixMilli()
	}
	events := timeline.Merge(timeline.FilterLines(lines, f, q.Host))
	if q.Limit > 0 && len(events) > q.Limit {
		events = events[len(events)-q.Limit:]
	}
	return client.Timeline{Events: events}
}
