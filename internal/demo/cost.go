package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTicksPerSecond is the rate of the clock ticks that /proc reports CPU time in. It
// is 100 on every Linux platform that Go supports.
const clockTicksPerSecond = 100

// metricPrefix is the prefix of the metric names of an entry host.
const metricPrefix = "catkinspring_"

// costSettleTime is the time after the start until connections and rosters are stable.
const costSettleTime = 5 * time.Second

// Cost is the resource use of a fleet without traffic. Values are per host, averaged
// over the hosts, unless stated otherwise.
type Cost struct {
	Hosts int
	// CPU is the share of one core.
	CPU float64
	// Resident is the resident memory in bytes.
	Resident float64
	// Sent and Received are bytes per second of peer messages.
	Sent     float64
	Received float64
	// StoreCalls are calls per second to the platform by the whole fleet.
	StoreCalls float64
}

// MeasureControlCost starts fleets without traffic, measures each for the given
// duration and writes a table. Hosts are fleet sizes in entry hosts; each is rounded
// down to a multiple of the number of failure domains.
func MeasureControlCost(ctx context.Context, options Options, hosts []int, duration time.Duration, out io.Writer) error {
	fmt.Fprintf(out, "%6s %10s %12s %12s %12s %14s\n", "hosts", "core", "resident", "sent B/s", "received B/s", "store calls/s")
	for _, n := range hosts {
		cost, err := measureCost(ctx, options, n, duration)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%6d %9.3f%% %9.1f MB %12.0f %12.0f %14.1f\n",
			cost.Hosts, 100*cost.CPU, cost.Resident/1e6, cost.Sent, cost.Received, cost.StoreCalls)
	}
	return nil
}

func measureCost(ctx context.Context, options Options, hosts int, duration time.Duration) (Cost, error) {
	options, remove, err := options.withDirectory()
	if err != nil {
		return Cost{}, err
	}
	defer remove()
	spec := Cooperative()
	spec.HostsPerDomain = max(1, hosts/(len(spec.Regions)*spec.Domains))
	f, err := start(ctx, spec, options, func(string, ...any) {})
	if err != nil {
		return Cost{}, err
	}
	defer f.Close()
	if !Sleep(ctx, costSettleTime) {
		return Cost{}, ctx.Err()
	}
	before, err := f.usage(ctx)
	if err != nil {
		return Cost{}, err
	}
	if !Sleep(ctx, duration) {
		return Cost{}, ctx.Err()
	}
	after, err := f.usage(ctx)
	if err != nil {
		return Cost{}, err
	}
	return after.since(before, len(f.Hosts)), nil
}

// usage holds counters summed over all hosts.
type usage struct {
	at         time.Time
	ticks      float64
	resident   float64
	sent       float64
	received   float64
	storeCalls float64
}

func (u usage) since(before usage, hosts int) Cost {
	seconds := u.at.Sub(before.at).Seconds()
	n := float64(hosts)
	return Cost{
		Hosts:      hosts,
		CPU:        (u.ticks - before.ticks) / clockTicksPerSecond / seconds / n,
		Resident:   u.resident / n,
		Sent:       (u.sent - before.sent) / seconds / n,
		Received:   (u.received - before.received) / seconds / n,
		StoreCalls: (u.storeCalls - before.storeCalls) / seconds,
	}
}

func (f *Fleet) usage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now()}
	for _, h := range f.Hosts {
		ticks, err := processorTicks(h.Process.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		resident, err := residentBytes(h.Process.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		counters, err := scrape(ctx, h)
		if err != nil {
			return u, err
		}
		u.ticks += ticks
		u.resident += resident
		u.sent += counters[metricPrefix+"peer_bytes_out"]
		u.received += counters[metricPrefix+"peer_bytes_in"]
		for name, value := range counters {
			if strings.HasPrefix(name, metricPrefix+"store_calls_") {
				u.storeCalls += value
			}
		}
	}
	return u, nil
}

// scrape returns the values of a host's metrics by name.
func scrape(ctx context.Context, h *Host) (map[string]float64, error) {
	text, err := fetchText(ctx, h.operatorsURL("/metrics"))
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = number
		}
	}
	return values, nil
}

// ProcFormatError reports a file in /proc with an unexpected format.
type ProcFormatError struct {
	PID  int
	File string
}

func (e *ProcFormatError) Error() string {
	return fmt.Sprintf("/proc/%d/%s has an unexpected form", e.PID, e.File)
}

// processorTicks returns the user and system time of a process.
func processorTicks(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	// The second field is the command in parentheses, which may contain spaces; user
	// and system time are fields 14 and 15.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, &ProcFormatError{PID: pid, File: "stat"}
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, eris.Wrap(err, "user time")
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return user + system, eris.Wrap(err, "system time")
}

func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "resident memory")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, &ProcFormatError{PID: pid, File: "statm"}
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), eris.Wrap(err, "resident memory")
}

// fetchText reads a text document without credentials.
func fetchText(ctx context.Context, url string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", eris.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return string(text), eris.Wrap(err, "answer")
}
