package main

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/operator/client"
)

type noteCommand struct {
	Check noteCheckCommand `cmd:"" help:"Check a release note and print every problem with line and column. Without --host only the note itself is checked, not what it refers to."`
	Diff  noteDiffCommand  `cmd:"" help:"Show what a release note changes against the revision in force."`
	Apply noteApplyCommand `cmd:"" help:"Apply a release note and wait until every live host runs it. Repeating a note with the same id is harmless."`
	List  noteListCommand  `cmd:"" help:"List the last accepted release notes, at most 256."`
	Show  noteShowCommand  `cmd:"" help:"Show the configuration in force, without digests of keys, or one accepted note."`
}

type noteFile struct {
	File string `arg:"" type:"existingfile" help:"Release note, JSON with comments."`
}

// read returns the text of a well-formed note. Otherwise it returns
// *configuration.NoteError with every problem that can be found without a host.
func (f noteFile) read() ([]byte, error) {
	text, err := os.ReadFile(f.File)
	if err != nil {
		return nil, eris.Wrap(err, "release note")
	}
	_, err = configuration.ParseNote(text)
	return text, err
}

type noteCheckCommand struct {
	noteFile
	fleetFlags
	jsonFlag
}

// Run checks a note.
func (c noteCheckCommand) Run(con *console) error {
	text, err := c.read()
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	if len(c.Host) == 0 {
		if c.JSON {
			return con.json(operator.Checked{Changes: []configuration.Change{}})
		}
		con.printf("%s: well formed; not checked against the revision in force, because no --host is given\n", c.File)
		return nil
	}
	checked, err := c.checkNote(con, text)
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	if c.JSON {
		return con.json(checked)
	}
	con.printf("%s: no problems; %d changes against revision %d\n", c.File, len(checked.Changes), checked.Revision)
	return nil
}

func (f *fleetFlags) checkNote(con *console, text []byte) (operator.Checked, error) {
	fleetClient, err := f.client()
	if err != nil {
		return operator.Checked{}, err
	}
	return fleetClient.Check(con.ctx, text)
}

type noteDiffCommand struct {
	noteFile
	fleetFlags
	jsonFlag
}

// Run shows the changes.
func (c noteDiffCommand) Run(con *console) error {
	text, err := c.read()
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	checked, err := c.checkNote(con, text)
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	if c.JSON {
		return con.json(checked)
	}
	con.printf("against revision %d:\n", checked.Revision)
	con.changes(checked.Changes)
	return nil
}

func (c *console) changes(changes []configuration.Change) {
	for _, change := range changes {
		c.printf("  %s\n", change)
	}
}

// reportFailure writes an error as JSON if asJSON is set, and returns the error.
func (c *console) reportFailure(err error, asJSON bool) error {
	if !asJSON {
		return err
	}
	failure := operator.Failure{Error: err.Error()}
	var note *configuration.NoteError
	var refused *client.FailureError
	switch {
	case errors.As(err, &note):
		failure.Kind, failure.Accepted = operator.FailureNoteInvalid, operator.AcceptedNo
		failure.Problems = operator.Problems(note.Problems)
	case errors.As(err, &refused):
		failure = refused.Failure
	}
	if writeErr := c.json(failure); writeErr != nil {
		return writeErr
	}
	return err
}

// waitFlags limit the time to wait for a revision.
type waitFlags struct {
	Wait   time.Duration `default:"30s" help:"Bound of the wait until every live host runs the revision."`
	NoWait bool          `help:"Return as soon as the note is accepted."`
}

type noteApplyCommand struct {
	noteFile
	fleetFlags
	waitFlags
	jsonFlag
}

// Run applies a note.
func (c noteApplyCommand) Run(con *console) error {
	text, err := c.read()
	if err != nil {
		return con.reportFailure(err, c.JSON)
	}
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	return con.applyAndReport(fleetClient, text, c.waitFlags, c.JSON)
}

// applyAndReport applies a note and prints the result. An error after the note was
// accepted lists the hosts that do not run it yet.
func (c *console) applyAndReport(fleetClient *client.Client, text []byte, wait waitFlags, asJSON bool) error {
	applied, err := c.apply(fleetClient, text, wait, asJSON)
	if err != nil && applied.Revision == 0 {
		return c.reportFailure(err, asJSON)
	}
	if !asJSON {
		return err
	}
	if writeErr := c.json(appliedOutput{Applied: applied, InForce: err == nil && !wait.NoWait, Behind: hostsBehind(err)}); writeErr != nil {
		return writeErr
	}
	return err
}

// appliedOutput is the JSON output of note apply.
type appliedOutput struct {
	operator.Applied
	// InForce is true if every live host runs the revision.
	InForce bool            `json:"inForce"`
	Behind  []client.Behind `json:"behind"`
}

func hostsBehind(err error) []client.Behind {
	var notInForce *client.NotInForceError
	if errors.As(err, &notInForce) {
		return notInForce.Behind
	}
	return []client.Behind{}
}

// apply sends a note and waits until it is in force. If the result has a revision, the
// note was accepted, even if an error is returned.
func (c *console) apply(fleetClient *client.Client, text []byte, wait waitFlags, quiet bool) (operator.Applied, error) {
	applied, err := fleetClient.Apply(c.ctx, text)
	if err != nil {
		return operator.Applied{}, err
	}
	report := c.printf
	if quiet {
		report = func(string, ...any) {}
	}
	if applied.Repeated {
		report("note %s was accepted before as revision %d\n", applied.NoteID, applied.Revision)
	} else {
		report("note %s is accepted as revision %d\n", applied.NoteID, applied.Revision)
		for _, change := range applied.Changes {
			report("  %s\n", change)
		}
	}
	if wait.NoWait {
		return applied, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait.Wait)
	defer cancel()
	started := time.Now()
	return applied, fleetClient.AwaitRevision(ctx, applied.Revision, func(p client.Progress) {
		report("in force on %d of %d hosts after %.1f s\n", p.InForce, p.Hosts, time.Since(started).Seconds())
	})
}

type noteListCommand struct {
	fleetFlags
	jsonFlag
}

// Run lists notes.
func (c noteListCommand) Run(con *console) error {
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	notes, err := fleetClient.Notes(con.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return con.json(notes)
	}
	rows := [][]string{{"REVISION", "NOTE"}}
	for _, n := range notes.Notes {
		rows = append(rows, []string{strconv.FormatUint(uint64(n.Revision), 10), n.ID})
	}
	con.table(rows)
	if notes.Stale {
		con.printf("the store can't be read; this is the list of revision %d, the last one that the host saw\n", notes.Revision)
	}
	return nil
}

type noteShowCommand struct {
	ID         string `arg:"" optional:"" help:"Id of an accepted note. Its revision and its events are shown; the text of notes is not kept."`
	AlertRules bool   `help:"Print the alert rules alone, byte for byte as they were accepted."`
	fleetFlags
	jsonFlag
}

// Run shows the configuration or a note.
func (c noteShowCommand) Run(con *console) error {
	fleetClient, err := c.client()
	if err != nil {
		return err
	}
	switch {
	case c.AlertRules:
		text, err := fleetClient.AlertRules(con.ctx)
		if err != nil {
			return err
		}
		_, err = con.out.Write(text)
		return err
	case c.ID != "":
		return c.showNote(con, fleetClient)
	}
	shown, err := fleetClient.Configuration(con.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return con.json(shown)
	}
	con.configuration(&shown)
	return nil
}

func (c noteShowCommand) showNote(con *console, fleetClient *client.Client) error {
	notes, err := fleetClient.Notes(con.ctx)
	if err != nil {
		return err
	}
	for _, n := range notes.Notes {
		if n.ID != c.ID {
			continue
		}
		if c.JSON {
			return con.json(n)
		}
		con.printf("note %s is accepted as revision %d; the newest revision is %d\n", n.ID, n.Revision, notes.Revision)
		return nil
	}
	return &operator.NotFoundError{What: "no accepted note that is remembered has the id " + c.ID}
}
