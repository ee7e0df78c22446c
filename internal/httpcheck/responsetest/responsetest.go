// Package responsetest serves broken responses, and whole ones beside them, in tests.
package responsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Impossible are statuses that no response can have.
var Impossible = []string{"000", "001", "099", "+00", "-00", "-01", "+99", "0", "20", "0200", "600", "999", "1000", "2 00", ""}

// Serve answers each request on each connection with the given bytes, and returns the
// address.
func Serve(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(c, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
