package dispatch

import "fmt"

// MalformedResponseError reports a response that is invalid or ambiguous.
type MalformedResponseError struct {
	Reason string
	// Cause is the error of the check that failed, if that is one of package httpcheck.
	Cause error
}

func (e *MalformedResponseError) Error() string {
	if e.Cause != nil {
		return "malformed response of the upstream: " + e.Reason + ": " + e.Cause.Error()
	}
	return "malformed response of the upstream: " + e.Reason
}

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// MismatchedResponseError reports a response that does not carry the ID of the
// request for which it was read.
type MismatchedResponseError struct {
	// Missing is true if the response carries no ID at all.
	Missing bool
}

func (e *MismatchedResponseError) Error() string {
	if e.Missing {
		return "response of the upstream carries no request id"
	}
	return "response of the upstream carries the id of another request"
}

// TruncatedResponseError reports a response that ended before its declared end.
type TruncatedResponseError struct {
	Cause error
}

func (e *TruncatedResponseError) Error() string {
	return fmt.Sprintf("response of the upstream is truncated: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Cause }

// UndelimitedResponseError reports a response whose end can't be distinguished from
// a broken connection.
type UndelimitedResponseError struct{}

func (*UndelimitedResponseError) Error() string {
	return "response of the upstream has neither a length nor chunks"
}

// FirstByteTimeoutError reports that no byte of a response arrived within the
// route's first-byte timeout.
type FirstByteTimeoutError struct {
	// Unresponsive is true if a new connection to the upstream worked in the
	// meantime, so that only this connection is unresponsive.
	Unresponsive bool
}

func (e *FirstByteTimeoutError) Error() string {
	if e.Unresponsive {
		return "connection went silent: no first byte in time while a new connection works"
	}
	return "no first byte in time"
}
