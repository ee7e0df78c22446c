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

// Exit codes of cmd/catkinspring that scripts rely on.
const (
	exitUnreachable = 5
	exitNoteInvalid = 6
	exitNoteRaced   = 7
	exitNotInForce  = 8
	exitUndecided   = 9
	exitNotAccepted = 11
	exitNotFound    = 12
)

// operatorCLI runs the operator's command line against a fleet.
type operatorCLI struct {
	t   *testing.T
	ctx context.Context
	f   *Fleet
}

// run runs a subcommand against the given hosts, or all of them.
func (cli *operatorCLI) run(arguments ...string) (code int, out string) {
	cli.t.Helper()
	c := exec.CommandContext(cli.ctx, programs.Binary, arguments...)
	for _, h := range cli.f.Hosts {
		c.Args = append(c.Args, "--host", h.Operators.String())
	}
	c.Env = append(os.Environ(), "CATKINSPRING_CREDENTIAL_FILE="+cli.f.path(operatorsFile))
	var text, errors strings.Builder
	c.Stdout, c.Stderr = &text, &errors
	start := time.Now()
	err := c.Run()
	if c.ProcessState == nil {
		require.NoError(cli.t, err)
	}
	cli.t.Logf("catkinspring %s: exit %d after %.1f s\n%s%s",
		strings.Join(arguments, " "), c.ProcessState.ExitCode(), time.Since(start).Seconds(), text.String(), errors.String())
	return c.ProcessState.ExitCode(), text.String()
}

// json runs a subcommand with --json and decodes its output.
func (cli *operatorCLI) json(want int, into any, arguments ...string) {
	cli.t.Helper()
	code, out := cli.run(append(arguments, "--json")...)
	require.Equal(cli.t, want, code)
	require.NoError(cli.t, json.Unmarshal([]byte(out), into), "%s", out)
}

func (cli *operatorCLI) writeNote(text string) string {
	file, err := os.CreateTemp(cli.t.TempDir(), "note-*.jsonc")
	require.NoError(cli.t, err)
	_, err = file.WriteString(text)
	require.NoError(cli.t, err)
	require.NoError(cli.t, file.Close())
	return file.Name()
}

// get sends a request to an entry host and returns status and request ID.
func (cli *operatorCLI) get(h *Host, path, key string) (int, string) {
	request, err := http.NewRequestWithContext(cli.ctx, http.MethodGet, "http://"+h.Callers.String()+path, nil)
	require.NoError(cli.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(cli.t, err)
	require.NoError(cli.t, response.Body.Close())
	return response.StatusCode, response.Header.Get("X-Request-Id")
}

// Guards against operator commands that fail in practice. It runs the usual tasks of
// an operator against real processes.
func TestOperatorWorkflow(t *testing.T) {
	ctx := testContext(t)
	cli := &operatorCLI{t: t, ctx: ctx, f: startSmall(ctx, t, 3)}
	cli.applyNote()
	cli.withdrawKey()
	cli.applyConcurrentNotes()
	cli.drainUpstream()
	cli.fireAndClearAlert()
	cli.readStatusTimelineLogs()
	cli.useDuringStoreOutage()
	cli.useAfterHostFailure()
}

// applyNote runs check, diff and apply on a note, and applies it a second time.
func (cli *operatorCLI) applyNote() {
	t := cli.t
	wrong := cli.writeNote("{\n\"id\": \"w\",\n\"withdrawn\": {\"keys\": [\"ffffffffffffffff\"],\n\"routes\": [\"nowhere\"]}}")
	var failure operator.Failure
	cli.json(exitNoteInvalid, &failure, "note", "check", wrong)
	require.Len(t, failure.Problems, 2)
	require.Equal(t, []int{3, 4}, []int{failure.Problems[0].Line, failure.Problems[1].Line})

	raise := cli.writeNote(`{"id": "raise", "changed": {"customers": [{"id": "skole-as", "rate": 30, "burst": 60, "weight": 1}]}}`)
	code, out := cli.run("note", "diff", raise)
	require.Zero(t, code)
	require.Contains(t, out, "changed customer skole-as: rate 6 -> 30, burst 12 -> 60")
	code, out = cli.run("note", "apply", raise)
	require.Zero(t, code)
	require.Contains(t, out, "accepted as revision 2")
	require.Contains(t, out, "in force on 3 of 3 hosts")
	code, out = cli.run("note", "apply", raise)
	require.Zero(t, code)
	require.Contains(t, out, "accepted before as revision 2")
	reused := cli.writeNote(`{"id": "raise", "withdrawn": {"customers": ["skole-as"]}}`)
	code, _ = cli.run("note", "apply", reused)
	require.Equal(t, exitNoteRaced, code)
	var notes operator.Notes
	cli.json(0, &notes, "note", "list")
	require.Equal(t, "raise", notes.Notes[1].ID)
	code, _ = cli.run("note", "show", "unknown-note")
	require.Equal(t, exitNotFound, code)
	code, out = cli.run("note", "show")
	require.Zero(t, code)
	require.NotContains(t, out, cli.f.Keys["skole-as"][0].Digest().Hex())
}

// withdrawKey creates a key, uses it, withdraws it and checks that all hosts refuse
// it.
func (cli *operatorCLI) withdrawKey() {
	var made struct{ Key, KeyID string }
	cli.json(0, &made, "key", "new", "skole-as", "--apply")
	for _, h := range cli.f.Hosts {
		// A host that has just joined refuses customers for up to 2.5 s.
		require.NoError(cli.t, Eventually(cli.ctx, readyTimeout, "the key works on "+string(h.ID), func() error {
			if status, _ := cli.get(h, "/sertifikat/1", made.Key); status != http.StatusOK {
				return &StatusError{Method: http.MethodGet, URL: h.Callers.String(), Status: status}
			}
			return nil
		}))
		cli.t.Logf("key works on %s", h.ID)
	}
	code, _ := cli.run("key", "withdraw", made.KeyID)
	require.Zero(cli.t, code)
	for _, h := range cli.f.Hosts {
		status, id := cli.get(h, "/sertifikat/1", made.Key)
		require.Equal(cli.t, http.StatusUnauthorized, status, h.ID)
		code, out := cli.run("explain", id)
		require.Zero(cli.t, code)
		require.Contains(cli.t, out, "key-invalid")
		require.NotContains(cli.t, out, made.Key)
	}
}

// applyConcurrentNotes applies two notes that change the same customer through two
// hosts at the same time. One is accepted; the other is accepted after it, or is
// refused with the item that changed.
func (cli *operatorCLI) applyConcurrentNotes() {
	type result struct {
		code int
		out  string
	}
	results := make(chan result, 2)
	for i, h := range cli.f.Hosts[:2] {
		file := cli.writeNote(`{"id": "race-` + string(h.ID) + `", "changed": {"customers": [{"id": "skole-as", "rate": ` + []string{"31", "32"}[i] + `, "burst": 60, "weight": 1}]}}`)
		go func() {
			c := exec.CommandContext(cli.ctx, programs.Binary, "note", "apply", file, "--host", h.Operators.String())
			c.Env = append(os.Environ(), "CATKINSPRING_CREDENTIAL_FILE="+cli.f.path(operatorsFile))
			out, _ := c.CombinedOutput()
			results <- result{c.ProcessState.ExitCode(), string(out)}
		}()
	}
	first, second := <-results, <-results
	cli.t.Logf("race: %+v %+v", first, second)
	if second.code == 0 {
		first, second = second, first
	}
	require.Zero(cli.t, first.code)
	if second.code != 0 {
		require.Equal(cli.t, exitNoteRaced, second.code)
		require.Contains(cli.t, second.out, "customer skole-as")
	}
}

// drainUpstream drains an upstream and checks that it gets no new requests.
func (cli *operatorCLI) drainUpstream() {
	t, name := cli.t, cli.f.Pools[0].Name+"-01"
	admin := cli.f.Admin(fleet.Upstream(name))
	selector := upstream.Selector{Upstream: fleet.Upstream(name)}
	require.NoError(t, call(cli.ctx, http.MethodPost, "http://"+admin+"/admin/drain", "", selector, nil))
	require.NoError(t, Eventually(cli.ctx, propagationLimit, "status shows the drain", func() error {
		_, out := cli.run("status", "--json")
		var summary client.Summary
		if err := json.Unmarshal([]byte(out), &summary); err != nil {
			return err
		}
		for _, capacity := range summary.Capacity {
			if capacity.Leaving == 1 {
				return nil
			}
		}
		return &RevisionError{}
	}))
	before, err := cli.f.runReport(cli.ctx, admin, 0, 1)
	require.NoError(t, err)
	for range 60 {
		status, _ := cli.get(cli.f.Hosts[0], "/katalog/1", "none")
		require.Equal(t, http.StatusOK, status)
	}
	after, err := cli.f.runReport(cli.ctx, admin, 0, 1)
	require.NoError(t, err)
	require.Equal(t, before.Totals.Drained, after.Totals.Drained, "requests refused by the draining upstream")
}

// fireAndClearAlert adds an alert rule whose condition already holds, and withdraws it.
// The alert must fire once and clear once.
func (cli *operatorCLI) fireAndClearAlert() {
	const line = `alert few-hosts if lease-seconds > 0s for 0s severity info`
	file := cli.writeNote(`{"id": "alert-on", "added": {"alertRules": ["` + line + `"]}}`)
	code, _ := cli.run("note", "apply", file)
	require.Zero(cli.t, code)
	code, out := cli.run("note", "show", "--alert-rules")
	require.Zero(cli.t, code)
	require.Contains(cli.t, out, line+"\n")
	cli.awaitEvent("alert.fired", "few-hosts")
	var summary client.Summary
	cli.json(0, &summary, "status")
	require.Len(cli.t, summary.Alerts, 1)
	file = cli.writeNote(`{"id": "alert-off", "withdrawn": {"alertRules": ["` + line + `"]}}`)
	code, _ = cli.run("note", "apply", file)
	require.Zero(cli.t, code)
	cli.awaitEvent("alert.cleared", "few-hosts")
	for _, kind := range []string{"alert.fired", "alert.cleared"} {
		_, out := cli.run("timeline", "--kind", kind)
		require.Equal(cli.t, 1, strings.Count(out, "few-hosts  "), out)
	}
}

func (cli *operatorCLI) awaitEvent(kind, text string) {
	require.NoError(cli.t, Eventually(cli.ctx, readyTimeout, kind, func() error {
		if _, out := cli.run("timeline", "--kind", kind); !strings.Contains(out, text) {
			return &MissingLogLineError{Name: kind}
		}
		return nil
	}))
}

// readStatusTimelineLogs reads status and timeline and changes the log level.
func (cli *operatorCLI) readStatusTimelineLogs() {
	t := cli.t
	var summary client.Summary
	cli.json(0, &summary, "status")
	require.Len(t, summary.Hosts, 3)
	require.Empty(t, summary.Unreached)
	code, out := cli.run("timeline", "--kind", "configuration-accepted")
	require.Zero(t, code)
	require.Contains(t, out, "raise")
	page := cli.writeNote("")
	code, _ = cli.run("timeline", "--html", page)
	require.Zero(t, code)
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), "<svg")
	require.NotContains(t, string(text), "http")
	code, out = cli.run("log", "level", "debug")
	require.Zero(t, code)
	require.Contains(t, out, "debug")
	code, _ = cli.run("status", "--credential-file", page)
	require.Equal(t, 2, code, "an empty credential")
}

// useDuringStoreOutage makes the store unreachable: the status shows it, a note ends as
// not accepted or undecided, and the accepted notes are still listed.
func (cli *operatorCLI) useDuringStoreOutage() {
	t, faults := cli.t, "http://"+cli.f.Platform+"/admin/faults"
	require.NoError(t, call(cli.ctx, http.MethodPost, faults, "", jsonObject{"outage": "hang"}, nil))
	cli.awaitEvent("store.unreachable", "object store is not reachable")
	code, out := cli.run("status")
	require.Zero(t, code)
	require.Contains(t, out, "not reachable")
	file := cli.writeNote(`{"id": "in-outage", "changed": {"customers": [{"id": "skole-as", "rate": 35, "burst": 60, "weight": 1}]}}`)
	hosts := cli.f.Hosts
	cli.f.Hosts = hosts[:1]
	code, _ = cli.run("note", "apply", file)
	cli.f.Hosts = hosts
	require.Contains(t, []int{exitUndecided, exitNotAccepted}, code)
	var notes operator.Notes
	cli.json(0, &notes, "note", "list")
	require.True(t, notes.Stale)
	require.Equal(t, "raise", notes.Notes[1].ID)
	require.NoError(t, call(cli.ctx, http.MethodPost, faults, "", jsonObject{"outage": "none"}, nil))
	require.NoError(t, Eventually(cli.ctx, readyTimeout, "the note is accepted after the outage", func() error {
		if code, out := cli.run("note", "apply", file); code != 0 {
			return &StatusError{Method: "note apply", Status: code, Body: out}
		}
		return nil
	}))
}

// useAfterHostFailure kills the first host: commands use the next one and report the
// killed host as unreachable.
func (cli *operatorCLI) useAfterHostFailure() {
	t := cli.t
	down := cli.f.Hosts[0]
	require.NoError(t, down.Process.Signal(os.Kill))
	<-down.Process.Done()
	raise := cli.writeNote(`{"id": "raise-again", "changed": {"customers": [{"id": "skole-as", "rate": 40, "burst": 60, "weight": 1}]}}`)
	var applied struct {
		Revision int
		InForce  bool
		Behind   []client.Behind
	}
	cli.json(exitNotInForce, &applied, "note", "apply", raise, "--wait", "2s")
	require.False(t, applied.InForce)
	require.Len(t, applied.Behind, 1)
	require.Equal(t, down.ID, applied.Behind[0].Host)
	var summary client.Summary
	cli.json(0, &summary, "status")
	require.Equal(t, down.ID, summary.Unreached[0].Host)
	hosts := cli.f.Hosts
	cli.f.Hosts = hosts[:1]
	code, _ := cli.run("status")
	require.Equal(t, exitUnreachable, code)
	cli.f.Hosts = hosts
}
