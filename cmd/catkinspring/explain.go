package main

import (
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/operator/client"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/requestlog"
	"github.com/catkinspring/catkinspring/timeline"
)

type explainCommand struct {
	RequestID string `arg:"" name:"request-id" help:"Value of the X-Request-Id header of the response."`
	fleetFlags
	logFlags
	jsonFlag
}

// explanation is the JSON output of explain.
type explanation struct {
	Request   string             `json:"request"`
	Events    []timeline.Event   `json:"events"`
	Unreached []client.Unreached `json:"unreached"`
}

// Run prints what happened to a request.
func (c explainCommand) Run(con *console) error {
	if len(c.Logs) > 0 {
		return c.explainLogs(con)
	}
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	t, err := fleetClient.Timeline(con.ctx, client.EventQuery{Request: c.RequestID})
	if err != nil {
		return err
	}
	if c.JSON {
		err = con.json(explanation{Request: c.RequestID, Events: t.Events, Unreached: t.Unreached})
	} else {
		con.explain(c.RequestID, t)
	}
	if err == nil && len(t.Events) == 0 {
		return &operator.NotFoundError{What: "no event of request " + c.RequestID + " is kept on the hosts that were reached"}
	}
	return err
}

// explainLogs prints the log lines of a request, and those about the upstreams that
// it was sent to.
func (c *explainCommand) explainLogs(con *console) error {
	lines, err := c.lines(con)
	if err != nil {
		return err
	}
	events := timeline.RelatedEvents(lines, c.RequestID)
	if c.JSON {
		err = con.json(explanation{Request: c.RequestID, Events: events})
	} else {
		con.events(events)
	}
	if err == nil && len(events) == 0 {
		return &operator.NotFoundError{What: "no line of request " + c.RequestID + " is in the logs"}
	}
	return err
}

func (c *console) explain(id string, t client.Timeline) {
	if len(t.Events) > 0 {
		first := &t.Events[0]
		c.printf("Request %s ended on entry host %s at %s.\n", id, first.Host, clockTime(first.Time.WallMillis))
	} else {
		c.printf("Nothing is known of request %s. Refused requests, unknown outcomes, retries and shifts are kept until newer ones need the room; of the others one in 1,000 is kept.\n", id)
	}
	for i := range t.Events {
		e := &t.Events[i]
		c.printf("%s\n", e.Text)
		if e.Kind != requestlog.KindRefused && e.Kind != requestlog.KindUnknown {
			continue
		}
		if reason := requestlog.Reason(problem.Kind(e.Subject)); reason != "" {
			c.printf("%s\n", reason)
		}
	}
	for _, u := range t.Unreached {
		c.printf("Entry host %s was not reached (%s); its part is missing.\n", u.Host, u.Reason)
	}
}
