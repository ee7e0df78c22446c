package store

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against a response with an impossible status that counts as success (fasthttp
// reports 000 as 200), or as a statement that nothing was written.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	key := machine.StoreKey{Kind: "k", Name: "n"}
	for _, status := range responsetest.Impossible {
		for name, prefix := range map[string]string{"": "", " after interim": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(status+name, func(t *testing.T) {
				address := responsetest.Serve(t, prefix+"HTTP/1.1 "+status+" X\r\nETag: \"5\"\r\nContent-Length: 2\r\n\r\n{}")
				h := NewHTTP(HTTPOptions{Address: address, Host: "h"})
				defer h.Close()
				_, err := h.Get(context.Background(), key)
				require.Error(t, err)
				if status == "000" || status == "600" {
					var impossible *httpcheck.StatusError
					require.ErrorAs(t, err, &impossible)
					require.Equal(t, status, impossible.Status)
				}
				_, err = h.Update(context.Background(), key, 4, []byte("{}"))
				var lost *AnswerLostError
				require.ErrorAs(t, err, &lost)
			})
		}
	}
}
