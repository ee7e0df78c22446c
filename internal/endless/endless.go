package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"time"
)

// Form is a prefix that is sent once, and a unit that is repeated until the client closes.
type Form struct {
	Name, Prefix, Unit string
}

// Forms returns all forms. header holds header lines that the client under test expects, each
// with its line end.
func Forms(header string) []Form {
	const size = 32 << 10
	ok := "HTTP/1.1 200 OK\r\n" + header
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	return []Form{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("a", size)},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", size)},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: a\r\n", size/8)},
		{"empty lines", "", strings.Repeat("\r\n", size/8)},
		{"interim", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", size/32)},
		{"continue", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", size/32)},
		{"chunk header", chunked + "1", strings.Repeat("0", size)},
		{"chunk comment", chunked + "1;", strings.Repeat("a", size)},
		{"trailer line", chunked + "0\r\nX: ", strings.Repeat("a", size)},
		{"trailer lines", chunked + "0\r\n", strings.Repeat("X: a\r\n", size/8)},
		{"chunks", chunked, strings.Repeat("1\r\na\r\n", size/8)},
		{"body to close", ok + "\r\n", strings.Repeat("a", size)},
		{"body of length", ok + "Content-Length: 9000000000000\r\n\r\n", strings.Repeat("a", size)},
		{"nested lists", ok + "\r\n", strings.Repeat("[", size)},
		{"foreign", "", strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1\r\n\r\na", size/32)},
		{"garbage", "", strings.Repeat("\x00\xff", size/2)},
	}
}

// Server answers the first request of each connection with a form.
type Server struct {
	listener net.Listener
	form     Form
	pause    time.Duration
	sent     atomic.Int64
}

// Serve starts a server on loopback that pauses between two units.
func Serve(form Form, pause time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, form: form, pause: pause}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() *net.TCPAddr { return s.listener.Addr().(*net.TCPAddr) }

// Sent returns the number of bytes that connections have taken, which includes those in the
// kernel's buffers.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops accepting connections. Open ones end with their clients.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(c)
	}
}

func (s *Server) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	for text := s.form.Prefix + s.form.Unit; ; text = s.form.Unit {
		n, err := io.WriteString(c, text)
		s.sent.Add(int64(n))
		if err != nil {
			return // the client has closed
		}
		time.Sleep(s.pause)
	}
}

// LiveHeap returns the bytes of the objects that a garbage collection finds in use. The
// collector takes what is allocated while it runs for live, so the result is an upper bound.
func LiveHeap() int64 {
	runtime.GC()
	return readBytes("/gc/heap/live:bytes")
}

// HeldHeap is LiveHeap without what was allocated during the collection: a lower bound of the
// bytes in use when it began. What stays in use counts in the next call.
func HeldHeap() int64 {
	allocated := readBytes(heapAllocated)
	live := LiveHeap()
	return live - (readBytes(heapAllocated) - allocated)
}

// heapAllocated is the metric of all bytes that were ever allocated.
const heapAllocated = "/gc/heap/allocs:bytes"

func readBytes(metric string) int64 {
	sample := []metrics.Sample{{Name: metric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
