package client

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against a part of a response that counts as the refusal of a note, which may have
// been accepted, because the reset of its connection was reported to the writer of the note.
func TestResetDuringNoteIsNoRefusal(t *testing.T) {
	note := responsetest.Upload()
	for _, delay := range responsetest.ResetDelays {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			s := responsetest.ServeEarly(t, responsetest.Early{Text: "HTTP/1.1 409 Conflict\r\n\r\n{\"kind\":", Delay: delay})
			c := New(Config{Hosts: []string{s.Address.String()}})
			refused := 0
			for range responsetest.EarlyRuns {
				_, err := c.Apply(context.Background(), note)
				var undecided *UndecidedError
				if !errors.As(err, &undecided) {
					refused++
				}
			}
			require.Zero(t, refused, "notes of %d count as refused", responsetest.EarlyRuns)
		})
	}
}
