package main

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator/client"
	"github.com/catkinspring/catkinspring/timeline"
)

// followInterval is the polling interval of timeline --follow.
const followInterval = 500 * time.Millisecond

type timelineCommand struct {
	Since    time.Duration `placeholder:"DURATION" help:"Only events of the last DURATION, such as 10m."`
	From     time.Time     `placeholder:"TIME" help:"Only events from this time on, such as 2026-12-04T07:00:00Z."`
	To       time.Time     `placeholder:"TIME" help:"Only events before this time."`
	OnHost   string        `placeholder:"ID" help:"Only events of this host."`
	Customer string        `placeholder:"ID" help:"Only events of this customer."`
	Request  string        `placeholder:"ID" help:"Only events of this request."`
	Kind     string        `placeholder:"KIND" help:"Only events of this kind, such as lease.valid; with a dot at the end of all that start with it, such as request."`
	Limit    int           `default:"1000" help:"Newest events of each host, at most 10000."`
	Follow   bool          `help:"Go on with new events until interrupted; not with --logs."`
	HTML     string        `name:"html" type:"path" placeholder:"FILE" help:"Write a page with a plot instead. It needs no network to be read."`
	fleetFlags
	logFlags
	jsonFlag
}

func (c *timelineCommand) query() client.EventQuery {
	q := client.EventQuery{
		Kind: c.Kind, Host: fleet.HostID(c.OnHost), Customer: fleet.Customer(c.Customer), Request: c.Request,
		From: c.From, To: c.To, Limit: c.Limit,
	}
	if c.Since > 0 {
		q.From = time.Now().Add(-c.Since)
	}
	return q
}

// Run prints the timeline.
func (c timelineCommand) Run(con *console) error {
	query := c.query()
	if len(c.Logs) > 0 {
		lines, err := c.lines(con)
		if err != nil {
			return err
		}
		return c.show(con, filterTimeline(lines, query))
	}
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	t, err := fleetClient.Timeline(con.ctx, query)
	if err != nil {
		return err
	}
	if c.HTML == "" && c.Follow {
		return con.follow(fleetClient, query, t, c.JSON)
	}
	return c.show(con, t)
}

func (c *timelineCommand) show(con *console, t client.Timeline) error {
	switch {
	case c.HTML != "":
		return writePage(c.HTML, t)
	case c.JSON:
		return con.json(t)
	}
	con.events(t.Events)
	con.unreached(t.Unreached)
	return nil
}

// follow polls for new events and prints them; as JSON, one event per line.
func (c *console) follow(fleetClient *client.Client, query client.EventQuery, t client.Timeline, asJSON bool) error {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	c.unreached(t.Unreached)
	unreachedCount := len(t.Unreached)
	for {
		if err := c.print(t.Events, asJSON); err != nil {
			return err
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-ticker.C:
		}
		next, err := fleetClient.Follow(c.ctx, query, t)
		if err != nil {
			return nil
		}
		t = next
		if len(t.Unreached) != unreachedCount {
			unreachedCount = len(t.Unreached)
			c.unreached(t.Unreached)
		}
	}
}

func (c *console) print(events []timeline.Event, asJSON bool) error {
	if !asJSON {
		c.events(events)
		return nil
	}
	encoder := json.NewEncoder(c.out)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return eris.Wrap(err, "event")
		}
	}
	return nil
}

func (c *console) events(events []timeline.Event) {
	for i := range events {
		e := &events[i]
		c.printf("%s  %s  %s", clockTime(e.Time.WallMillis), e.Host, e.Kind)
		for _, field := range []string{string(e.Customer), e.Request, e.Subject} {
			if field != "" {
				c.printf("  %s", field)
			}
		}
		c.printf("  %s\n", e.Text)
	}
}

// unreached prints to standard error the hosts whose events are missing, so that
// standard output holds only events and can be piped.
func (c *console) unreached(list []client.Unreached) {
	out := console{out: c.err}
	for _, u := range list {
		out.printf("not reached, its events are missing: %s: %s\n", u.Host, u.Reason)
	}
}
