package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/endless"
)

// Guards against headers of pipelined requests, or of connections that send a part of one,
// that together use up the host's memory, and against refusing others afterwards.
func TestHeadersTogetherAreBounded(t *testing.T) {
	const connections, headBytes, held = 600, 4 << 20, 24 << 20
	whole := "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 15<<10) + "\r\n\r\n"
	for name, payload := range map[string][]byte{
		"pipelined": []byte(strings.Repeat(whole, maxPipelined+1)),
		"half":      []byte(whole[:14<<10]),
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := New(Config{
				Limits: func() Limits { return Limits{HeaderTimeout: 2 * time.Second} }, MaxConnections: connections, HeadBytes: headBytes, BodyBytes: testBodyBytes,
				Handler: func(context.Context, *Request) *Response {
					<-release
					return &Response{Status: http.StatusOK, Header: http.Header{}}
				},
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = s.Serve(l) }()
			defer func() { _ = l.Close() }()
			before := endless.LiveHeap()
			var group sync.WaitGroup
			var mu sync.Mutex
			refused := 0
			for range connections {
				group.Go(func() {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(10 * time.Second))
					_, _ = c.Write(payload)
					reader := bufio.NewReaderSize(c, 256)
					for {
						response, err := http.ReadResponse(reader, nil)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, response.Body)
						if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
							mu.Lock()
							refused++
							mu.Unlock()
						}
					}
				})
			}
			require.Eventually(t, func() bool { return s.HeadBytes() > headBytes/2 }, 5*time.Second, time.Millisecond)
			for range 10 {
				require.LessOrEqual(t, s.HeadBytes(), int64(headBytes))
				require.LessOrEqual(t, endless.LiveHeap()-before, int64(held))
			}
			close(release)
			group.Wait()
			require.Positive(t, refused)
			require.Eventually(t, func() bool { return s.HeadBytes() == 0 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}
