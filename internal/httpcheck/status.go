// Package httpcheck rejects broken HTTP responses that the parsers of net/http and fasthttp
// accept. All clients of this project use it, so that none accepts what another rejects.
package httpcheck

import (
	"net/http"
	"strings"
)

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// maxShown bounds how much of a status is named in an error.
const maxShown = 8

// StatusError reports a response with a status outside 100 to 599, or one that is
// not of three digits. Nothing else in such a response can be relied on.
type StatusError struct {
	// Status is the status as it was received, shortened.
	Status string
}

func (e *StatusError) Error() string {
	return "response with the impossible status \"" + e.Status + "\""
}

// Status returns *StatusError unless a status is of three digits and between 100 and
// 599. A reason after a space is ignored.
func Status(status string) error {
	code, _, _ := strings.Cut(status, " ")
	if len(code) == 3 && code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2]) {
		return nil
	}
	return &StatusError{Status: strings.ToValidUTF8(code[:min(len(code), maxShown)], "?")}
}

// IsFinal reports whether a status can be that of a final response: one from 200 to 599.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
