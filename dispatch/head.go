package dispatch

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/valyala/fasthttp"
)

// head is what the dispatcher needs to know of a response before the codec
// reads it.
type head struct {
	status    int
	requestID []byte
	notRun    bool
	draining  bool
	// length is true if the head has a Content-Length.
	length  bool
	chunked bool
	size    int
}

// maxInterim bounds the 1xx responses before the final one.
const maxInterim = 4

// readHead waits for the head of a final response, checks it, and leaves it in
// the reader for the codec. Interim responses are dropped. The codec accepts
// some heads whose framing another reader could understand differently; those
// are refused here.
func readHead(r *bufio.Reader) (head, error) {
	for range maxInterim + 1 {
		raw, err := peekHead(r)
		if err != nil {
			return head{}, err
		}
		h, err := parseHead(raw)
		if err != nil {
			return head{}, err
		}
		if h.status >= http.StatusOK {
			return h, nil
		}
		if h.status == http.StatusSwitchingProtocols {
			return head{}, &MalformedResponseError{Reason: "it switches protocols"}
		}
		if _, err := r.Discard(h.size); err != nil {
			return head{}, err
		}
	}
	return head{}, &MalformedResponseError{Reason: "it has too many interim responses"}
}

var headEnd = []byte("\r\n\r\n")

// peekHead returns the bytes up to and including the empty line, without
// consuming them.
func peekHead(r *bufio.Reader) ([]byte, error) {
	want := 1
	for {
		if _, err := r.Peek(want); err != nil {
			if err == bufio.ErrBufferFull {
				return nil, &MalformedResponseError{Reason: "its header is too large"}
			}
			return nil, err
		}
		buffered, _ := r.Peek(r.Buffered())
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			return buffered[:end+len(headEnd)], nil
		}
		want = len(buffered) + 1
	}
}

// parseHead checks a head strictly; see RFC 9112, sections 4 to 6.
func parseHead(raw []byte) (head, error) {
	h := head{size: len(raw)}
	line, rest, _ := bytes.Cut(raw[:len(raw)-2], []byte("\r\n"))
	const statusEnd = len("HTTP/1.1 200")
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || len(line) < statusEnd || len(line) > statusEnd && line[statusEnd] != ' ' {
		return h, &MalformedResponseError{Reason: "its status line is not HTTP/1.1"}
	}
	for _, c := range line[statusEnd-3 : statusEnd] {
		if c < '0' || c > '9' {
			return h, &MalformedResponseError{Reason: "its status is not a number"}
		}
		h.status = h.status*10 + int(c-'0')
	}
	if h.status < http.StatusContinue {
		return h, &MalformedResponseError{Reason: "its status is out of range"}
	}
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return h, &MalformedResponseError{Reason: "its status line holds a line end"}
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, err := SplitField(line)
		if err != nil {
			return h, &MalformedResponseError{Reason: err.Error()}
		}
		if err := h.note(name, value); err != nil {
			return h, err
		}
	}
	if h.length && h.chunked {
		return h, &MalformedResponseError{Reason: "it has both Content-Length and Transfer-Encoding"}
	}
	return h, nil
}

func (h *head) note(name, value []byte) error {
	switch {
	case equalFold(name, "Content-Length"):
		if h.length {
			return &MalformedResponseError{Reason: "it has more than one Content-Length"}
		}
		if !allDigits(value) {
			return &MalformedResponseError{Reason: "its Content-Length is not a number"}
		}
		h.length = true
	case equalFold(name, "Transfer-Encoding"):
		if h.chunked || !equalFold(value, "chunked") {
			return &MalformedResponseError{Reason: "its Transfer-Encoding is not chunked alone"}
		}
		h.chunked = true
	case equalFold(name, HeaderRequestID):
		if h.requestID != nil {
			return &MalformedResponseError{Reason: "it has more than one request id"}
		}
		h.requestID = value
	case equalFold(name, HeaderNotRun):
		h.notRun = equalFold(value, "true")
	case equalFold(name, HeaderDraining):
		h.draining = equalFold(value, "true")
	}
	return nil
}

// hasBody reports whether a response to the method has a body by its head.
func (h *head) hasBody(headRequest bool) bool {
	return !headRequest && h.status != fasthttp.StatusNoContent && h.status != fasthttp.StatusNotModified
}

// delimited reports whether the end of the body can be told from a connection
// that broke. A body that ends with its connection can't be.
func (h *head) delimited(headRequest bool) bool {
	return h.length || h.chunked || !h.hasBody(headRequest)
}

// FieldError reports a header line that is not a field.
type FieldError struct {
	Reason string
}

func (e *FieldError) Error() string { return e.Reason }

// SplitField splits a header line, without its line end, into name and value.
// It refuses with a *FieldError what lenient parsers read differently: folded
// lines, white space around the name, and line ends without a carriage return.
func SplitField(line []byte) (name, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return nil, nil, &FieldError{Reason: "a header line has no name"}
	}
	name = line[:colon]
	for _, c := range name {
		if !tokenChars[c] {
			return nil, nil, &FieldError{Reason: "a header name holds a character that is not allowed"}
		}
	}
	value = bytes.Trim(line[colon+1:], " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, &FieldError{Reason: "a header value holds a control character"}
		}
	}
	return name, value, nil
}

// tokenChars are the characters of a token; see RFC 9110, section 5.6.2.
var tokenChars = func() (set [256]bool) {
	for c := '0'; c <= '9'; c++ {
		set[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		set[c] = true
		set[c-'a'+'A'] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}()

func equalFold(text []byte, want string) bool {
	return len(text) == len(want) && bytes.EqualFold(text, []byte(want))
}

func allDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) > 0
}
