package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/operator/client"
)

type statusCommand struct {
	fleetFlags
	jsonFlag
}

// Run shows the state of the cell.
func (c statusCommand) Run(con *console) error {
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	cell, err := fleetClient.Cell(con.ctx)
	if err != nil {
		return err
	}
	summary := client.Summarize(cell)
	if c.JSON {
		return con.json(summary)
	}
	con.summary(&summary)
	return nil
}

func (c *console) summary(s *client.Summary) {
	c.printf("%d hosts as %s lists them; revision %d is in force", len(s.Hosts), s.Source, s.Revision)
	if s.OldestRevision != s.Revision {
		c.printf(", %d on the last host", s.OldestRevision)
	}
	c.printf("\n\n")
	c.hostTable(s)
	c.customerTable(s)
	c.capacityTable(s)
	c.printf("\nSHIFTS BETWEEN REGIONS\n")
	rows := [][]string{}
	for _, shift := range s.Shifts {
		rows = append(rows, []string{"  " + string(shift.Route), fmt.Sprintf("%s -> %s", shift.From, shift.To), fmt.Sprintf("%.1f/s", shift.PerSecond)})
	}
	c.rowsOrNone(rows)
	c.printf("\nQUARANTINED REQUESTS\n")
	rows = [][]string{}
	for _, q := range s.Quarantined {
		rows = append(rows, []string{"  " + q.Fingerprint, "since " + clockTime(q.SinceMillis)})
	}
	c.rowsOrNone(rows)
	c.alerts(s)
	c.printf("\nNOT REACHED\n")
	rows = [][]string{}
	for _, u := range s.Unreached {
		rows = append(rows, []string{"  " + string(u.Host), u.Reason})
	}
	c.rowsOrNone(rows)
}

func (c *console) rowsOrNone(rows [][]string) {
	if len(rows) == 0 {
		c.printf("  none\n")
		return
	}
	c.table(rows)
}

func (c *console) hostTable(s *client.Summary) {
	rows := [][]string{{"HOST", "INCARNATION", "REGION", "DOMAIN", "STATE", "READY", "LEASE", "REVISION", "STORE", "RUNNING", "VERSION"}}
	for _, h := range s.Hosts {
		if h.Status == nil {
			rows = append(rows, []string{string(h.Host), "?", "?", "?", string(h.State), "?", "?", "?", "?", "?", "?"})
			continue
		}
		st := h.Status
		rows = append(rows, []string{
			string(h.Host), st.Incarnation.String()[:8], string(st.Location.Region), string(st.Location.FailureDomain),
			string(h.State), readiness(st.Ready, st.NotReady), fmt.Sprintf("%.1f s", float64(st.LeaseMillis)/1000),
			fmt.Sprint(st.Revision), storeState(st), fmt.Sprint(st.Running), st.Version,
		})
	}
	c.table(rows)
}

func readiness(ready bool, reason string) string {
	if ready {
		return "yes"
	}
	return "no: " + strings.TrimPrefix(reason, "not ready: ")
}

// maxRecentCallAge is the age up to which the last call to the store reflects its
// current state.
const maxRecentCallAge = 15 * time.Second

func storeState(st *operator.Status) string {
	state := "not reachable"
	if st.StoreOK {
		state = "reachable"
	}
	age := time.Duration(st.StoreCallMillis) * time.Millisecond
	switch {
	case st.StoreCallMillis < 0:
		return "not called"
	case age > maxRecentCallAge:
		return fmt.Sprintf("%s %.0f s ago", state, age.Seconds())
	}
	return state
}

func (c *console) customerTable(s *client.Summary) {
	rows := [][]string{{"\nCUSTOMER", "RATE", "BURST", "SHARES", "ADMITTED", "REFUSED"}}
	for i := range s.Customers {
		customer := &s.Customers[i]
		rows = append(rows, []string{
			string(customer.Customer), fmt.Sprintf("%g/s", customer.Rate), fmt.Sprintf("%g", customer.Burst),
			formatShares(customer.Fractions), fmt.Sprintf("%.1f/s", customer.Admitted), fmt.Sprintf("%.1f/s", customer.Refused),
		})
	}
	c.table(rows)
}

// formatShares returns the smallest and the largest base share of a host, and the sum
// of all.
func formatShares(shares map[fleet.HostID]float64) string {
	smallest, largest, sum := 1.0, 0.0, 0.0
	for _, share := range shares {
		smallest, largest, sum = min(smallest, share), max(largest, share), sum+share
	}
	if len(shares) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%% to %.1f%% a host, %.1f%% in all", 100*smallest, 100*largest, 100*sum)
}

func (c *console) capacityTable(s *client.Summary) {
	rows := [][]string{{"\nPOOL", "REGION", "UPSTREAMS", "LEAVING", "SLOTS", "IN FLIGHT", "HEADROOM"}}
	for _, capacity := range s.Capacity {
		rows = append(rows, []string{
			string(capacity.Pool), string(capacity.Region), fmt.Sprint(capacity.Upstreams), fmt.Sprint(capacity.Leaving),
			fmt.Sprint(capacity.Slots), fmt.Sprint(capacity.InFlight), fmt.Sprintf("%.0f%%", 100*capacity.Headroom),
		})
	}
	c.table(rows)
}

func (c *console) alerts(s *client.Summary) {
	evaluator := string(s.AlertEvaluator)
	if evaluator == "" {
		evaluator = "no host that was reached"
	}
	c.printf("\nFIRING ALERTS, evaluated by %s\n", evaluator)
	rows := [][]string{}
	for _, a := range s.Alerts {
		rows = append(rows, []string{"  " + a.Name, a.Severity, "since " + clockTime(a.SinceMillis), fmt.Sprintf("value %g", a.Value), a.Rule})
	}
	c.rowsOrNone(rows)
}

// clockTime formats Unix milliseconds as a UTC time with milliseconds.
func clockTime(millis int64) string {
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}
