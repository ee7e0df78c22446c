package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"

	"github.com/catkinspring/catkinspring/configcheck"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/platform"
	"github.com/catkinspring/catkinspring/policy"
)

// maxConfigurationBytes bounds a configuration file. 1,400 routes take less than 1 MiB.
const maxConfigurationBytes = 64 << 20

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a configuration, print every finding and what differs from the version in force. The exit code is 0 without findings, 1 with findings, 2 if a file cannot be read."`
}

type configCheckCommand struct {
	File      string         `arg:"" help:"Configuration in the platform's form, JSON with comments."`
	InForce   string         `help:"Configuration in force, to compare with." placeholder:"FILE"`
	Upstreams map[string]int `help:"Number of upstreams of services, to check the attempts of routes." placeholder:"SERVICE=N"`
	JSON      bool           `name:"json" help:"Print findings and differences as JSON."`
}

// configurationReadError reports a file that cannot be read.
type configurationReadError struct {
	file  string
	cause error
}

func (e *configurationReadError) Error() string {
	return e.file + " cannot be read: " + e.cause.Error()
}
func (e *configurationReadError) Unwrap() error { return e.cause }

// fileSizeError reports a file that is too large.
type fileSizeError struct{ bound int }

func (e *fileSizeError) Error() string {
	return "it is larger than " + strconv.Itoa(e.bound) + " bytes"
}

// upstreamsError reports a number of upstreams on the command line that is negative.
type upstreamsError struct{ service string }

func (e *upstreamsError) Error() string {
	return fmt.Sprintf("--upstreams: the number of upstreams of %q is negative", e.service)
}

// undecodedError reports a configuration in force that cannot be decoded.
type undecodedError struct{ finding configcheck.Finding }

func (e *undecodedError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.finding.Line, e.finding.Column, e.finding.Text)
}

// findingsError reports that a configuration has findings.
type findingsError struct {
	file             string
	errors, warnings int
}

func (e *findingsError) Error() string {
	return fmt.Sprintf("%s: errors: %d, warnings: %d", e.file, e.errors, e.warnings)
}

// Run checks a configuration.
func (c configCheckCommand) Run(console *console) error {
	document, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	options := configcheck.Options{Upstreams: map[fleet.Pool]int{}}
	for service, n := range c.Upstreams {
		if n < 0 {
			return &upstreamsError{service: service}
		}
		options.Upstreams[fleet.Pool(service)] = n
	}
	if c.InForce != "" {
		if options.InForce, err = readConfigurationInForce(c.InForce); err != nil {
			return err
		}
	}
	report := configcheck.Check(document, options)
	if c.JSON {
		encoder := json.NewEncoder(console.out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = printReport(console.out, c.File, report)
	}
	if err != nil {
		return err
	}
	if len(report.Findings) == 0 {
		return nil
	}
	failure := &findingsError{file: c.File}
	for _, f := range report.Findings {
		if f.Severity == configcheck.SeverityError {
			failure.errors++
		} else {
			failure.warnings++
		}
	}
	return failure
}

func readConfiguration(file string) (*configcheck.Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &configurationReadError{file: file, cause: err}
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxConfigurationBytes+1))
	if err != nil {
		return nil, &configurationReadError{file: file, cause: err}
	}
	if len(text) > maxConfigurationBytes {
		return nil, &configurationReadError{file: file, cause: &fileSizeError{bound: maxConfigurationBytes}}
	}
	return platform.ReadConfiguration(text), nil
}

// readConfigurationInForce reads the configuration to compare with. One that cannot be
// decoded is unreadable, because every comparison with it would mislead.
func readConfigurationInForce(file string) (*policy.Configuration, error) {
	document, err := readConfiguration(file)
	if err != nil {
		return nil, err
	}
	for _, f := range document.Findings {
		if f.Undecoded() {
			return nil, &configurationReadError{file: file, cause: &undecodedError{finding: f}}
		}
	}
	return &document.Configuration, nil
}

func printReport(out io.Writer, file string, report configcheck.Report) error {
	for _, f := range report.Findings {
		path := ""
		if f.Path != "" {
			path = printable(f.Path) + ": "
		}
		if _, err := fmt.Fprintf(out, "%s:%d:%d: %s: %s%s [%s]\n", file, f.Line, f.Column, f.Severity, path, printable(f.Text), f.Rule); err != nil {
			return err
		}
	}
	if len(report.Findings) == 0 {
		if _, err := fmt.Fprintf(out, "%s: no findings\n", file); err != nil {
			return err
		}
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", d.Change, d.Entry, printable(d.Text)); err != nil {
			return err
		}
	}
	return nil
}

// printable escapes a text that contains line ends or other control characters, which
// names in a file may have.
func printable(text string) string {
	if strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}
