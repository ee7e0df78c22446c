package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
)

// FailureError reports that a host refused a request.
type FailureError struct {
	Address string
	Status  int
	Failure operator.Failure
}

func (e *FailureError) Error() string { return e.Failure.Error }

func asFailureError(err error) (*FailureError, bool) {
	var refused *FailureError
	ok := errors.As(err, &refused)
	return refused, ok
}

// newFailureError returns the *FailureError for the body of an error response.
func newFailureError(address string, status int, text []byte) error {
	e := &FailureError{Address: address, Status: status}
	if err := json.Unmarshal(text, &e.Failure); err != nil || e.Failure.Error == "" {
		e.Failure = operator.Failure{Kind: operator.FailureRequest, Error: fmt.Sprintf("host %s answered with status %d", address, status)}
	}
	return e
}

// Attempt is a failed attempt to reach a host.
type Attempt struct {
	Address string
	Err     error
}

// UnreachableError reports that no host could be reached.
type UnreachableError struct {
	Attempts []Attempt
}

func (e *UnreachableError) Error() string {
	lines := []string{"no host could be reached"}
	for _, a := range e.Attempts {
		lines = append(lines, fmt.Sprintf("  %s: %v", a.Address, a.Err))
	}
	return strings.Join(lines, "\n")
}

// UndecidedError reports a note of unknown outcome because the response was lost.
type UndecidedError struct {
	Attempts []Attempt
}

func (e *UndecidedError) Error() string {
	lines := []string{"the note may have been accepted: the response was lost; apply the same note again to get its state"}
	for _, a := range e.Attempts {
		lines = append(lines, fmt.Sprintf("  %s: %v", a.Address, a.Err))
	}
	return strings.Join(lines, "\n")
}

// Behind is a host on which a revision is not in force.
type Behind struct {
	Host fleet.HostID `json:"host"`
	// Revision is the revision in force; 0 if the host could not be reached.
	Revision fleet.Revision `json:"revision"`
	// Reason is why it is not certain that the host has the revision.
	Reason string `json:"reason"`
}

// NotInForceError reports that a revision was not in force on all live hosts in
// time. The note was accepted, and its propagation continues.
type NotInForceError struct {
	Revision fleet.Revision
	Behind   []Behind
}

func (e *NotInForceError) Error() string {
	lines := []string{fmt.Sprintf("revision %d is accepted, but not yet in force on %d hosts", e.Revision, len(e.Behind))}
	for _, b := range e.Behind {
		lines = append(lines, fmt.Sprintf("  %s: %s", b.Host, b.Reason))
	}
	return strings.Join(lines, "\n")
}
