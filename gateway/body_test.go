package gateway

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/endless"
	"github.com/catkinspring/catkinspring/problem"
)

// allowBodies sets the body limit of the open route.
func (h *harness) allowBodies(size int) {
	s := h.configuration(h.key)
	s.Routes[0].MaxBodyBytes = size
	s.Index()
	h.snapshot.Store(s)
}

// Guards against uploads that each keep to the bound of one and together use up the host's
// memory, and against small requests that are refused because of them.
func TestUploadsAreBoundedTogether(t *testing.T) {
	const callers, size, memory, slack = 24, 1 << 20, 6 << 20, 4 << 20
	for name, text := range map[string]string{
		"announced": "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("a", size),
		"chunked":   "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(size, 16) + "\r\n" + strings.Repeat("a", size) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusCreated) }, func(c *Config) { c.UploadBytes = memory })
			h.allowBodies(size)
			payload := []byte("POST /open HTTP/1.1\r\nHost: g\r\n" + text)
			before := endless.HeldHeap()
			rest := make(chan struct{})
			var group sync.WaitGroup
			var mu sync.Mutex
			responses := map[int][]*fasthttp.Response{}
			for range callers {
				group.Go(func() {
					c, err := net.Dial("tcp", h.address)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(DefaultReadTimeout))
					go func() {
						// The writes of a refused caller fail.
						if _, err := c.Write(payload[:len(payload)-1]); err == nil {
							<-rest
							_, _ = c.Write(payload[len(payload)-1:])
						}
					}()
					response := &fasthttp.Response{}
					if err := response.Read(bufio.NewReader(c)); err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					responses[response.StatusCode()] = append(responses[response.StatusCode()], response)
				})
			}
			refused := func() []*fasthttp.Response {
				mu.Lock()
				defer mu.Unlock()
				return responses[fasthttp.StatusServiceUnavailable]
			}
			// The callers send for part of the second and then wait, so that what is held stays.
			highest := int64(0)
			for began := time.Now(); time.Since(began) < time.Second; {
				highest = max(highest, endless.HeldHeap()-before)
				require.LessOrEqual(t, h.uploads.Used(), int64(memory))
			}
			require.LessOrEqual(t, highest, int64(memory+slack), "bytes held")
			require.NotEmpty(t, refused(), "%d bodies of 1 MB at a time exceed %d bytes", callers, memory)
			require.Equal(t, fasthttp.StatusCreated, h.send(t, "POST", "/open", "", "small").StatusCode())
			close(rest)
			group.Wait()
			for _, r := range refused() {
				requireProblem(t, r, problem.KindQueueFull, problem.OutcomeNotRun)
			}
			require.NotEmpty(t, responses[fasthttp.StatusCreated])
			require.Zero(t, h.uploads.Used())
		})
	}
}

// Guards against a body with a length that ends early and passes for a whole one.
func TestBodyThatEndsEarlyIsRefused(t *testing.T) {
	ran := false
	h := newHarness(t, func(*fasthttp.RequestCtx) { ran = true }, nil)
	h.allowBodies(1 << 20)
	for _, sent := range []int{10, 20 << 10} {
		c, err := net.Dial("tcp", h.address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("a", sent)))
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		response := &fasthttp.Response{}
		require.NoError(t, response.Read(bufio.NewReader(c)))
		requireProblem(t, response, problem.KindMalformed, problem.OutcomeNotRun)
	}
	require.False(t, ran)
}

// Guards against the time of a slow upload that counts towards the timeout of its route.
func TestTimeoutOfRouteBeginsWithTheWholeBody(t *testing.T) {
	h := newHarness(t, echo, nil)
	c, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nX-Request-Timeout: 400\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"))
	require.NoError(t, err)
	timer := time.NewTimer(600 * time.Millisecond)
	<-timer.C
	_, err = c.Write([]byte("0\r\n\r\n"))
	require.NoError(t, err)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(c)))
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode(), "%s", response)
	require.Equal(t, "echo a", string(response.Body()))
}
