package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/keys"
)

// Accepted states whether a note may have been accepted although its request failed.
type Accepted string

// The values of Accepted.
const (
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// FailureKind is the kind of a failure.
type FailureKind string

// The kinds of failure.
const (
	FailureCredential  FailureKind = "credential"
	FailureRequest     FailureKind = "request"
	FailureNotFound    FailureKind = "not-found"
	FailureNoteInvalid FailureKind = "note-invalid"
	FailureNoteReused  FailureKind = "note-id-reused"
	FailureNoteRaced   FailureKind = "note-raced"
	FailureUndecided   FailureKind = "note-undecided"
	FailureUnavailable FailureKind = "unavailable"
)

// Problem is one problem of a release note.
type Problem struct {
	// Line and Column are counted from 1; the column is in bytes.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path,omitempty"`
	Value  string `json:"value,omitempty"`
	Want   string `json:"want"`
}

func (p Problem) String() string {
	return configuration.Problem{Line: p.Line, Column: p.Column, Path: p.Path, Value: p.Value, Want: p.Want}.String()
}

// Problems converts the problems of a note and sorts them by position.
func Problems(list []configuration.Problem) []Problem {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b configuration.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	problems := make([]Problem, 0, len(list))
	for _, p := range list {
		problems = append(problems, Problem{Line: p.Line, Column: p.Column, Path: p.Path, Value: p.Value, Want: p.Want})
	}
	return problems
}

// Race describes the accepted notes with which a refused note conflicts.
type Race struct {
	Revision fleet.Revision `json:"revision"`
	// Notes are the notes that were accepted in between, oldest first.
	Notes []configuration.AcceptedNote `json:"notes"`
	// Both lists the items that the refused note and those notes both change.
	Both []configuration.Item `json:"both"`
}

// Failure is the body of a response that reports an error.
type Failure struct {
	Kind  FailureKind `json:"kind"`
	Error string      `json:"error"`
	// Accepted is set if the failure concerns a note.
	Accepted Accepted  `json:"accepted,omitempty"`
	Problems []Problem `json:"problems,omitempty"`
	Race     *Race     `json:"race,omitempty"`
	// Revision is the revision of the earlier note with the same ID.
	Revision fleet.Revision `json:"revision,omitempty"`
}

func writeError(c fiber.Ctx, err error) error {
	status, body := describe(err)
	body.Error = keys.Redact(body.Error)
	return c.Status(status).JSON(body)
}

// describe maps an error to a status and a response body. For every error on a
// note but *UndecidedError, the note was not accepted.
func describe(err error) (int, Failure) {
	failure := Failure{Error: err.Error()}
	var (
		credential *CredentialError
		query      *QueryError
		missing    *NotFoundError
		router     *fiber.Error
	)
	switch {
	case errors.As(err, &credential):
		failure.Kind = FailureCredential
		return fiber.StatusUnauthorized, failure
	case errors.As(err, &query):
		failure.Kind = FailureRequest
		return fiber.StatusBadRequest, failure
	case errors.As(err, &missing):
		failure.Kind = FailureNotFound
		return fiber.StatusNotFound, failure
	case errors.As(err, &router):
		return router.Code, Failure{Kind: FailureRequest, Error: router.Message}
	}
	return describeNote(err, failure)
}

func describeNote(err error, failure Failure) (int, Failure) {
	var (
		note      *configuration.NoteError
		reused    *configuration.NoteReusedError
		raced     *configuration.RacedError
		undecided *configuration.UndecidedError
	)
	failure.Accepted = AcceptedNo
	switch {
	case errors.As(err, &note):
		failure.Kind = FailureNoteInvalid
		failure.Revision = note.Revision
		failure.Problems = Problems(note.Problems)
		failure.Error = noteErrorText(note.NoteID, failure.Problems)
		return fiber.StatusUnprocessableEntity, failure
	case errors.As(err, &reused):
		failure.Kind = FailureNoteReused
		failure.Revision = reused.Revision
		return fiber.StatusConflict, failure
	case errors.As(err, &raced):
		failure.Kind = FailureNoteRaced
		failure.Race = &Race{Revision: raced.Revision, Notes: raced.Notes, Both: raced.Both}
		return fiber.StatusConflict, failure
	case errors.As(err, &undecided), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		failure.Kind = FailureUndecided
		failure.Accepted = AcceptedUnknown
		return fiber.StatusGatewayTimeout, failure
	}
	failure.Kind = FailureUnavailable
	return fiber.StatusServiceUnavailable, failure
}

func noteErrorText(id string, problems []Problem) string {
	lines := []string{fmt.Sprintf("release note %q: %d problems", id, len(problems))}
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// CredentialError reports a missing or wrong operators' credential.
type CredentialError struct{}

func (*CredentialError) Error() string { return "operators' credential is missing or wrong" }

// QueryError reports a malformed query parameter or body.
type QueryError struct {
	Parameter string
	Want      string
}

func (e *QueryError) Error() string { return "parameter " + e.Parameter + " must be " + e.Want }

// NotFoundError reports something that does not exist on the host.
type NotFoundError struct {
	What string
}

func (e *NotFoundError) Error() string { return e.What }

// NotReadyError reports a host without a configuration.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "the host has no configuration yet; ask another one" }
