package httpcheck

import (
	"errors"
	"io"
	"syscall"
)

// Reason is why a response is broken, as logs and metrics name it.
type Reason string

// The reasons.
const (
	// ReasonStatus means a status that HTTP does not define.
	ReasonStatus Reason = "status"
	// ReasonField means a line of the header or trailer that is no field.
	ReasonField Reason = "field"
	// ReasonReset means that the connection was reset before the end of the response.
	ReasonReset Reason = "reset"
	// ReasonTruncated means that the stream ended before the end of the response.
	ReasonTruncated Reason = "truncated"
	// ReasonOther means any other error.
	ReasonOther Reason = "other"
)

// Reasons are all reasons.
var Reasons = []Reason{ReasonStatus, ReasonField, ReasonReset, ReasonTruncated, ReasonOther}

// ReasonOf returns the reason for which the reading of a response failed.
func ReasonOf(err error) Reason {
	var status *StatusError
	var field *FieldError
	switch {
	case errors.As(err, &status):
		return ReasonStatus
	case errors.As(err, &field):
		return ReasonField
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ReasonReset
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return ReasonTruncated
	}
	return ReasonOther
}
