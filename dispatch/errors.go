package dispatch

import "fmt"

// MalformedResponseError reports a response that could be understood in more
// than one way, or not at all.
type MalformedResponseError struct {
	Reason string
}

func (e *MalformedResponseError) Error() string {
	return "malformed response of the upstream: " + e.Reason
}

// CrossedResponseError reports a response that does not carry the id of the
// request it was read for.
type MismatchedResponseError struct {
	// Missing is true if it carries no id at all.
	Missing bool
}

func (e *MismatchedResponseError) Error() string {
	if e.Missing {
		return "response of the upstream carries no request id"
	}
	return "response of the upstream carries the id of another request"
}

// TruncatedResponseError reports a response that ended before its announced end.
type TruncatedResponseError struct {
	Cause error
}

func (e *TruncatedResponseError) Error() string {
	return fmt.Sprintf("response of the upstream is truncated: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Cause }

// UndelimitedResponseError reports a response whose end can't be told from a
// broken connection.
type UndelimitedResponseError struct{}

func (*UndelimitedResponseError) Error() string {
	return "response of the upstream has neither a length nor chunks"
}

// FirstByteTimeoutError reports that no byte of a response came in the route's
// bound.
type FirstByteTimeoutError struct {
	// Silent is true if a new connection to the upstream worked meanwhile.
	Unresponsive bool
}

func (e *FirstByteTimeoutError) Error() string {
	if e.Unresponsive {
		return "connection went silent: no first byte in time while a new connection works"
	}
	return "no first byte in time"
}
