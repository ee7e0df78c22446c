package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/endless"
)

// repeat writes prefix once, then unit until the connection is closed.
func repeat(prefix, unit string, pause time.Duration, sent *atomic.Int64) connectionHandler {
	return func(s *stubServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = io.WriteString(c, prefix)
		for {
			n, err := io.WriteString(c, unit)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// endlessAnswers are bytes that are no answer, or not the end of one.
var endlessAnswers = endless.Forms("Id: 1\r\n")

// Guards against a host that reads, and holds, an answer without end until its memory
// is used up, and against a verdict of "not run" on such an answer.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	for _, answer := range endlessAnswers {
		t.Run(answer.Name, func(t *testing.T) {
			var sent atomic.Int64
			s := startStub(t, repeat(answer.Prefix, answer.Unit, 0, &sent))
			c := NewClient(testCodec{}, 4<<20)
			result := exchangeWith(t, c, s, request("1"))
			require.Equal(t, Broken, result.Outcome, result.Err)
			require.False(t, result.Outcome.NotRun())
			require.Error(t, result.Err)
			require.Less(t, result.Took, 3*time.Second, "it ends at the bound, not at the deadline")
			require.Zero(t, c.responses.Used())
			// What the kernel's buffers hold is sent, but not read.
			require.Less(t, sent.Load(), int64(24<<20))
		})
	}
}

// Guards against a slow answer without end that outlives its request.
func TestSlowAnswerWithoutEndStopsAtDeadline(t *testing.T) {
	var sent atomic.Int64
	s := startStub(t, repeat("HTTP/1.1 200 OK\r\nX: ", "a", time.Millisecond, &sent))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	result := NewClient(testCodec{}, 4<<20).Exchange(ctx, s.target, request("1"), Attempt{})
	require.Equal(t, TimedOut, result.Outcome)
	require.Less(t, result.Took, time.Second)
}

// Guards against answers without end that together exceed the host's memory, and
// against other requests that fail because of them.
func TestAnswersWithoutEndLeaveMemoryForOthers(t *testing.T) {
	const exchanges, memory = 64, 8 << 20
	var sent atomic.Int64
	bad := startStub(t, repeat("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("a", 32<<10), 0, &sent))
	good := startStub(t, respondToEach(func(id string) string { return okResponse(id, strings.Repeat("b", 60<<10)) }))
	c := NewClient(testCodec{}, memory)
	before := endless.LiveHeap()
	var group sync.WaitGroup
	for range exchanges {
		group.Go(func() {
			for range 4 {
				_ = exchangeWith(t, c, bad, request("1"))
			}
		})
	}
	highest := int64(0)
	for range 50 {
		result := exchangeWith(t, c, good, request("2"))
		require.Equal(t, Answered, result.Outcome, result.Err)
		result.Response.Release()
		highest = max(highest, endless.LiveHeap())
	}
	group.Wait()
	require.Zero(t, c.responses.Used())
	require.Less(t, highest-before, int64(32<<20))
}

// Guards against a deadline during connection setup that is reported as a caller that
// has left: nothing was sent, so the request has not run.
func TestDeadlineWhileConnectingMeansNotRun(t *testing.T) {
	s := startStub(t, respondToEach(func(id string) string { return okResponse(id, "") }))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	result := NewClient(testCodec{}, 4<<20).Exchange(ctx, s.target, request("1"), Attempt{})
	require.Equal(t, Unreachable, result.Outcome)
	require.True(t, result.Outcome.NotRun())
	require.Zero(t, s.requests.Load())
}

// Guards against memory that is reserved for the body of an answer to HEAD, which has
// none.
func TestAnswerToHeadMayAnnounceAnyLength(t *testing.T) {
	s := startStub(t, func(s *stubServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000\r\n\r\n")
	})
	r := request("1")
	r.Method = "HEAD"
	result := exchangeWith(t, NewClient(testCodec{}, 4<<20), s, r)
	require.Equal(t, Answered, result.Outcome, result.Err)
	require.Empty(t, result.Response.Body)
}

// FuzzReadResponse checks that no bytes of an upstream make the reader panic, hold
// memory after the exchange, or take an answer with another ID for this request's.
func FuzzReadResponse(f *testing.F) {
	for _, answer := range endlessAnswers {
		f.Add([]byte(answer.Prefix + answer.Unit[:min(64, len(answer.Unit))]))
	}
	f.Add([]byte(okResponse("1", "body")))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := NewClient(testCodec{}, 1<<20)
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(text)
			_ = far.Close()
		}()
		e := exchange{client: c, ctx: context.Background(), request: request("1")}
		response, _, err := e.read(newConnection(near))
		_ = near.Close()
		if err == nil && response.RequestID != "1" {
			t.Fatalf("took the answer to request %q", response.RequestID)
		}
		if err == nil {
			response.Release()
		}
		if used := c.responses.Used(); used != 0 {
			t.Fatalf("%d bytes stay reserved", used)
		}
	})
}

// Guards against rejecting bodies that are sent in small pieces.
func TestBodyInSmallChunksIsRead(t *testing.T) {
	const chunks = 200_000
	s := startStub(t, func(s *stubServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("a\r\n0123456789\r\n", chunks)+"0\r\n\r\n")
	})
	result := exchangeWith(t, NewClient(testCodec{}, testResponseBytes), s, request("1"))
	require.Equal(t, Answered, result.Outcome, "%v", result.Err)
	require.Len(t, result.Response.Body, 10*chunks)
}
