package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/operator/client"
)

// The exit codes of cmd/catkinspring that scripts tell apart.
const (
	exitUnreachable = 5
	exitNoteInvalid = 6
	exitNoteRaced   = 7
	exitNotInForce  = 8
	exitUndecided   = 9
	exitNotAccepted = 11
	exitNotFound    = 12
)

// desk is an operator's command line.
type desk struct {
	t   *testing.T
	ctx context.Context
	f   *Fleet
}

// command runs a subcommand against the given hosts, or all of them.
func (d *desk) command(arguments ...string) (code int, out string) {
	d.t.Helper()
	c := exec.CommandContext(d.ctx, programs.Binary, arguments...)
	for _, h := range d.f.Hosts {
		c.Args = append(c.Args, "--host", h.Operators.String())
	}
	c.Env = append(os.Environ(), "CATKINSPRING_CREDENTIAL_FILE="+d.f.path(operatorsFile))
	var text, errors strings.Builder
	c.Stdout, c.Stderr = &text, &errors
	begun := time.Now()
	err := c.Run()
	if c.ProcessState == nil {
		require.NoError(d.t, err)
	}
	d.t.Logf("catkinspring %s: exit %d after %.1f s\n%s%s",
		strings.Join(arguments, " "), c.ProcessState.ExitCode(), time.Since(begun).Seconds(), text.String(), errors.String())
	return c.ProcessState.ExitCode(), text.String()
}

// json runs a subcommand with --json and decodes its output.
func (d *desk) json(want int, into any, arguments ...string) {
	d.t.Helper()
	code, out := d.command(append(arguments, "--json")...)
	require.Equal(d.t, want, code)
	require.NoError(d.t, json.Unmarshal([]byte(out), into), "%s", out)
}

func (d *desk) note(text string) string {
	file, err := os.CreateTemp(d.t.TempDir(), "note-*.jsonc")
	require.NoError(d.t, err)
	_, err = file.WriteString(text)
	require.NoError(d.t, err)
	require.NoError(d.t, file.Close())
	return file.Name()
}

// get sends a request to an entry host and returns status and request id.
func (d *desk) get(h *Host, path, key string) (int, string) {
	request, err := http.NewRequestWithContext(d.ctx, http.MethodGet, "http://"+h.Callers.String()+path, nil)
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	require.NoError(d.t, response.Body.Close())
	return response.StatusCode, response.Header.Get("X-Request-Id")
}

// Guards against commands that only their authors can use: a new operator works
// through a day with real processes.
func TestOperatorsDay(t *testing.T) {
	ctx := testContext(t)
	d := &desk{t: t, ctx: ctx, f: startSmall(ctx, t, 3)}
	d.applyNote()
	d.withdrawKey()
	d.race()
	d.drainUpstream()
	d.alert()
	d.look()
	d.storeDown()
	d.hostDown()
}

// applyNote checks, compares and applies a note, and applies it again.
func (d *desk) applyNote() {
	t := d.t
	wrong := d.note("{\n\"id\": \"w\",\n\"withdrawn\": {\"keys\": [\"ffffffffffffffff\"],\n\"routes\": [\"nowhere\"]}}")
	var failure operator.Failure
	d.json(exitNoteInvalid, &failure, "note", "check", wrong)
	require.Len(t, failure.Problems, 2)
	require.Equal(t, []int{3, 4}, []int{failure.Problems[0].Line, failure.Problems[1].Line})

	raise := d.note(`{"id": "raise", "changed": {"customers": [{"id": "skole-as", "rate": 30, "burst": 60, "weight": 1}]}}`)
	code, out := d.command("note", "diff", raise)
	require.Zero(t, code)
	require.Contains(t, out, "changed customer skole-as: rate 6 -> 30, burst 12 -> 60")
	code, out = d.command("note", "apply", raise)
	require.Zero(t, code)
	require.Contains(t, out, "accepted as revision 2")
	require.Contains(t, out, "in force on 3 of 3 hosts")
	code, out = d.command("note", "apply", raise)
	require.Zero(t, code)
	require.Contains(t, out, "accepted before as revision 2")
	reused := d.note(`{"id": "raise", "withdrawn": {"customers": ["skole-as"]}}`)
	code, _ = d.command("note", "apply", reused)
	require.Equal(t, exitNoteRaced, code)
	var notes operator.Notes
	d.json(0, &notes, "note", "list")
	require.Equal(t, "raise", notes.Notes[1].ID)
	code, _ = d.command("note", "show", "unknown-note")
	require.Equal(t, exitNotFound, code)
	code, out = d.command("note", "show")
	require.Zero(t, code)
	require.NotContains(t, out, d.f.Keys["skole-as"][0].Digest().Hex())
}

// withdrawKey grants a key, uses it, withdraws it and sees it stop on all hosts.
func (d *desk) withdrawKey() {
	var made struct{ Key, KeyID string }
	d.json(0, &made, "key", "new", "skole-as", "--apply")
	for _, h := range d.f.Hosts {
		// A host that has just joined refuses customers for up to 2.5 s.
		require.NoError(d.t, Eventually(d.ctx, readyTimeout, "the key works on "+string(h.ID), func() error {
			if status, _ := d.get(h, "/sertifikat/1", made.Key); status != http.StatusOK {
				return &StatusError{Method: http.MethodGet, URL: h.Callers.String(), Status: status}
			}
			return nil
		}))
		d.t.Logf("key works on %s", h.ID)
	}
	code, _ := d.command("key", "withdraw", made.KeyID)
	require.Zero(d.t, code)
	for _, h := range d.f.Hosts {
		status, id := d.get(h, "/sertifikat/1", made.Key)
		require.Equal(d.t, http.StatusUnauthorized, status, h.ID)
		code, out := d.command("explain", id)
		require.Zero(d.t, code)
		require.Contains(d.t, out, "key-invalid")
		require.NotContains(d.t, out, made.Key)
	}
}

// race applies two notes on the same item through two hosts at a time. One is
// accepted; the other one may be accepted after it or is told what changed.
func (d *desk) race() {
	type result struct {
		code int
		out  string
	}
	results := make(chan result, 2)
	for i, h := range d.f.Hosts[:2] {
		file := d.note(`{"id": "race-` + string(h.ID) + `", "changed": {"customers": [{"id": "skole-as", "rate": ` + []string{"31", "32"}[i] + `, "burst": 60, "weight": 1}]}}`)
		go func() {
			c := exec.CommandContext(d.ctx, programs.Binary, "note", "apply", file, "--host", h.Operators.String())
			c.Env = append(os.Environ(), "CATKINSPRING_CREDENTIAL_FILE="+d.f.path(operatorsFile))
			out, _ := c.CombinedOutput()
			results <- result{c.ProcessState.ExitCode(), string(out)}
		}()
	}
	first, second := <-results, <-results
	d.t.Logf("race: %+v %+v", first, second)
	if second.code == 0 {
		first, second = second, first
	}
	require.Zero(d.t, first.code)
	if second.code != 0 {
		require.Equal(d.t, exitNoteRaced, second.code)
		require.Contains(d.t, second.out, "customer skole-as")
	}
}

// drainUpstream tells an upstream to leave and sees it get no new work.
func (d *desk) drainUpstream() {
	t, name := d.t, d.f.Pools[0].Name+"-01"
	admin := d.f.Admin(fleet.Upstream(name))
	selector := upstream.Selector{Upstream: fleet.Upstream(name)}
	require.NoError(t, call(d.ctx, http.MethodPost, "http://"+admin+"/admin/drain", "", selector, nil))
	require.NoError(t, Eventually(d.ctx, propagation, "status shows the drain", func() error {
		_, out := d.command("status", "--json")
		var summary client.Summary
		if err := json.Unmarshal([]byte(out), &summary); err != nil {
			return err
		}
		for _, part := range summary.Capacity {
			if part.Leaving == 1 {
				return nil
			}
		}
		return &RevisionError{}
	}))
	before, err := d.f.report(d.ctx, admin, 0, 1)
	require.NoError(t, err)
	for range 60 {
		status, _ := d.get(d.f.Hosts[0], "/katalog/1", "none")
		require.Equal(t, http.StatusOK, status)
	}
	after, err := d.f.report(d.ctx, admin, 0, 1)
	require.NoError(t, err)
	require.Equal(t, before.Totals.Drained, after.Totals.Drained, "requests that the leaving upstream refused")
}

// alert adds a rule that holds at once, and withdraws it: it fires and clears
// once for the cell.
func (d *desk) alert() {
	const line = `alert few-hosts if lease-seconds > 0s for 0s severity info`
	file := d.note(`{"id": "alert-on", "added": {"alertRules": ["` + line + `"]}}`)
	code, _ := d.command("note", "apply", file)
	require.Zero(d.t, code)
	code, out := d.command("note", "show", "--alert-rules")
	require.Zero(d.t, code)
	require.Contains(d.t, out, line+"\n")
	d.awaitEvent("alert.fired", "few-hosts")
	var summary client.Summary
	d.json(0, &summary, "status")
	require.Len(d.t, summary.Alerts, 1)
	file = d.note(`{"id": "alert-off", "withdrawn": {"alertRules": ["` + line + `"]}}`)
	code, _ = d.command("note", "apply", file)
	require.Zero(d.t, code)
	d.awaitEvent("alert.cleared", "few-hosts")
	for _, kind := range []string{"alert.fired", "alert.cleared"} {
		_, out := d.command("timeline", "--kind", kind)
		require.Equal(d.t, 1, strings.Count(out, "few-hosts  "), out)
	}
}

func (d *desk) awaitEvent(kind, text string) {
	require.NoError(d.t, Eventually(d.ctx, readyTimeout, kind, func() error {
		if _, out := d.command("timeline", "--kind", kind); !strings.Contains(out, text) {
			return &MissingLogLineError{Name: kind}
		}
		return nil
	}))
}

// look reads status, time line and logs.
func (d *desk) look() {
	t := d.t
	var summary client.Summary
	d.json(0, &summary, "status")
	require.Len(t, summary.Hosts, 3)
	require.Empty(t, summary.Unreached)
	code, out := d.command("timeline", "--kind", "configuration-accepted")
	require.Zero(t, code)
	require.Contains(t, out, "raise")
	page := d.note("")
	code, _ = d.command("timeline", "--html", page)
	require.Zero(t, code)
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), "<svg")
	require.NotContains(t, string(text), "http")
	code, out = d.command("log", "level", "debug")
	require.Zero(t, code)
	require.Contains(t, out, "debug")
	code, _ = d.command("status", "--credential-file", page)
	require.Equal(t, 2, code, "an empty credential")
}

// storeDown works on without the store: the state is shown, a note is refused as
// not accepted or undecided, and the accepted notes are still listed.
func (d *desk) storeDown() {
	t, faults := d.t, "http://"+d.f.Platform+"/admin/faults"
	require.NoError(t, call(d.ctx, http.MethodPost, faults, "", object{"outage": "hang"}, nil))
	d.awaitEvent("store.unreachable", "object store is not reachable")
	code, out := d.command("status")
	require.Zero(t, code)
	require.Contains(t, out, "not reachable")
	file := d.note(`{"id": "in-outage", "changed": {"customers": [{"id": "skole-as", "rate": 35, "burst": 60, "weight": 1}]}}`)
	hosts := d.f.Hosts
	d.f.Hosts = hosts[:1]
	code, _ = d.command("note", "apply", file)
	d.f.Hosts = hosts
	require.Contains(t, []int{exitUndecided, exitNotAccepted}, code)
	var notes operator.Notes
	d.json(0, &notes, "note", "list")
	require.True(t, notes.Stale)
	require.Equal(t, "raise", notes.Notes[1].ID)
	require.NoError(t, call(d.ctx, http.MethodPost, faults, "", object{"outage": "none"}, nil))
	require.NoError(t, Eventually(d.ctx, readyTimeout, "the note is accepted after the outage", func() error {
		if code, out := d.command("note", "apply", file); code != 0 {
			return &StatusError{Method: "note apply", Status: code, Body: out}
		}
		return nil
	}))
}

// hostDown kills the first host: commands go to the next one and name the one
// that is missing.
func (d *desk) hostDown() {
	t := d.t
	down := d.f.Hosts[0]
	require.NoError(t, down.Process.Signal(os.Kill))
	<-down.Process.Done()
	raise := d.note(`{"id": "raise-again", "changed": {"customers": [{"id": "skole-as", "rate": 40, "burst": 60, "weight": 1}]}}`)
	var applied struct {
		Revision int
		InForce  bool
		Behind   []client.Behind
	}
	d.json(exitNotInForce, &applied, "note", "apply", raise, "--wait", "2s")
	require.False(t, applied.InForce)
	require.Len(t, applied.Behind, 1)
	require.Equal(t, down.ID, applied.Behind[0].Host)
	var summary client.Summary
	d.json(0, &summary, "status")
	require.Equal(t, down.ID, summary.Unreached[0].Host)
	hosts := d.f.Hosts
	d.f.Hosts = hosts[:1]
	code, _ := d.command("status")
	require.Equal(t, exitUnreachable, code)
	d.f.Hosts = hosts
}
