package store

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against a response with a broken header line that counts as a value, as success or
// as a statement that nothing was written. fasthttp accepts names with spaces.
func TestBrokenHeaderLineIsNoResponse(t *testing.T) {
	key := machine.StoreKey{Kind: "k", Name: "n"}
	for _, line := range slices.Concat(responsetest.BrokenLines, responsetest.FoldedLines) {
		for _, form := range []string{
			"HTTP/1.1 200 OK\r\nETag: \"5\"\r\n%s\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 409 Conflict\r\nETag: \"5\"\r\n%s\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 103 Early Hints\r\nA: b\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"5\"\r\nContent-Length: 2\r\n\r\n{}",
		} {
			t.Run(fmt.Sprintf("%q in %q", line, form[9:15]), func(t *testing.T) {
				t.Parallel()
				h := NewHTTP(HTTPOptions{Address: responsetest.Serve(t, fmt.Sprintf(form, line)), Host: "h"})
				defer h.Close()
				_, err := h.Get(context.Background(), key)
				var status *StatusError
				require.Error(t, err)
				require.NotErrorAs(t, err, &status)
				_, err = h.Update(context.Background(), key, 4, []byte("{}"))
				var lost *AnswerLostError
				require.ErrorAs(t, err, &lost)
			})
		}
	}
}
