package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against a part of a response that counts as success or as the refusal of a write,
// because the reset of its connection was reported to the writer of the request.
func TestResetDuringWriteIsNoResponse(t *testing.T) {
	// A value fits into the buffers, but takes several writes.
	for _, status := range []string{"200 OK", "409 Conflict", "412 Precondition Failed"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			early := responsetest.Early{Text: "HTTP/1.1 " + status + "\r\nETag: \"5\"\r\n\r\npart", Delay: time.Millisecond}
			h := NewHTTP(HTTPOptions{Address: responsetest.ServeEarly(t, early).Address.String(), Host: "h"})
			defer h.Close()
			answered := 0
			for range responsetest.EarlyRuns {
				_, err := h.Update(context.Background(), machine.StoreKey{Kind: "k", Name: "n"}, 4, make([]byte, MaxValueSize))
				var lost *AnswerLostError
				if !errors.As(err, &lost) {
					answered++
				}
			}
			require.Zero(t, answered, "writes of %d count as answered", responsetest.EarlyRuns)
		})
	}
}
