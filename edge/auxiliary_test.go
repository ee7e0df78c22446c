package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/endless"
)

// Guards against clients of the directory that use up the host's memory by headers, bodies or
// connections without end, and against lookups that are not answered meanwhile.
func TestRequestsWithoutEndLeaveRoomForLookups(t *testing.T) {
	// A lookup waits behind the clients that came before it, but not for ever.
	const clients, held, lookupTimeout = 1000, 32 << 20, 20 * time.Second
	for name, text := range map[string]string{
		"header line":  "GET /resolve HTTP/1.1\r\nX: " + strings.Repeat("a", 64<<10),
		"header lines": "GET /resolve HTTP/1.1\r\n" + strings.Repeat("X: a\r\n", 8<<10),
		"body":         "POST /resolve HTTP/1.1\r\nHost: h\r\nContent-Length: 900000000\r\n\r\n" + strings.Repeat("a", 64<<10),
		"half a head":  "GET /resolve HTTP/1.1\r\nHost: h\r\n",
		"nothing":      "",
		"kept":         "GET /resolve HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := newAuxiliaryServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
			go func() { _ = s.serve(l) }()
			defer func() { _ = s.Close() }()
			payload := []byte(text)
			var opened atomic.Int64
			before := endless.LiveHeap()
			for range clients {
				go func() {
					// Closed by the server.
					if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
						opened.Add(1)
						for err == nil && text != "" {
							_, err = c.Write(payload)
							if name == "kept" || name == "half a head" {
								break
							}
						}
						_, _ = io.Copy(io.Discard, c)
						_ = c.Close()
					}
				}()
			}
			require.Eventually(t, func() bool { return opened.Load() == clients }, lookupTimeout, time.Millisecond)
			highest := int64(0)
			for range 3 {
				client := http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
				response, err := client.Get("http://" + l.Addr().String() + "/resolve")
				require.NoError(t, err)
				_ = response.Body.Close()
				require.Equal(t, http.StatusOK, response.StatusCode)
				highest = max(highest, endless.LiveHeap())
			}
			require.LessOrEqual(t, highest-before, int64(held))
		})
	}
}
