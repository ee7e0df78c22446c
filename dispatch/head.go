package dispatch

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
)

// responseHead holds the parts of a response head that the dispatcher needs before
// the codec reads it.
type responseHead struct {
	status    int
	requestID []byte
	notRun    bool
	draining  bool
	// hasLength is true if the response has a Content-Length.
	hasLength bool
	chunked   bool
	byteLen   int
}

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 4

// readHead waits for the head of a final response, validates it, and leaves it in
// the reader for the codec. Interim responses are dropped. Heads whose framing
// other parsers could read differently are rejected here, because the codec accepts
// some of them.
func readHead(r *bufio.Reader) (responseHead, error) {
	for range maxInterimResponses + 1 {
		raw, err := peekHead(r)
		if err != nil {
			return responseHead{}, err
		}
		h, err := parseHead(raw)
		if err != nil {
			return responseHead{}, err
		}
		if h.status >= http.StatusOK {
			return h, nil
		}
		if h.status == http.StatusSwitchingProtocols {
			return responseHead{}, &MalformedResponseError{Reason: "it switches protocols"}
		}
		if _, err := r.Discard(h.byteLen); err != nil {
			return responseHead{}, err
		}
	}
	return responseHead{}, &MalformedResponseError{Reason: "it has too many interim responses"}
}

var headEnd = []byte("\r\n\r\n")

// peekHead returns the bytes up to and including the empty line, without
// consuming them.
func peekHead(r *bufio.Reader) ([]byte, error) {
	n := 1
	for {
		if _, err := r.Peek(n); err != nil {
			if err == bufio.ErrBufferFull {
				return nil, &MalformedResponseError{Reason: "its header is too large"}
			}
			return nil, err
		}
		buffered, _ := r.Peek(r.Buffered())
		if end := bytes.Index(buffered, headEnd); end >= 0 {
			return buffered[:end+len(headEnd)], nil
		}
		n = len(buffered) + 1
	}
}

// checkTrailer waits for the trailer of a response and checks it, and leaves it in the reader
// for the codec.
func checkTrailer(r *bufio.Reader) error {
	for n := len("\r\n"); ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if err == bufio.ErrBufferFull {
				return &MalformedResponseError{Reason: "its trailer is too large"}
			}
			return err
		}
		buffered, _ := r.Peek(r.Buffered())
		if bytes.HasPrefix(buffered, []byte("\r\n")) {
			return nil
		}
		end := bytes.Index(buffered, headEnd)
		if end < 0 {
			continue
		}
		for line := range bytes.SplitSeq(buffered[:end], []byte("\r\n")) {
			if _, _, err := httpcheck.SplitField(line); err != nil {
				return &MalformedResponseError{Reason: "its trailer is broken", Cause: err}
			}
		}
		return nil
	}
}

// parseHead parses a head strictly; see RFC 9112, sections 4 to 6.
func parseHead(raw []byte) (responseHead, error) {
	h := responseHead{byteLen: len(raw)}
	line, rest, _ := bytes.Cut(raw[:len(raw)-2], []byte("\r\n"))
	status, ok := bytes.CutPrefix(line, []byte("HTTP/1.1 "))
	if !ok {
		return h, &MalformedResponseError{Reason: "its status line is not HTTP/1.1"}
	}
	if err := httpcheck.Status(string(status)); err != nil {
		return h, &MalformedResponseError{Reason: "its status is impossible", Cause: err}
	}
	for _, c := range status[:len("200")] {
		h.status = h.status*10 + int(c-'0')
	}
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return h, &MalformedResponseError{Reason: "its status line holds a line end"}
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, err := httpcheck.SplitField(line)
		if err != nil {
			return h, &MalformedResponseError{Reason: "its header is broken", Cause: err}
		}
		if err := h.recordField(name, value); err != nil {
			return h, err
		}
	}
	if h.hasLength && h.chunked {
		return h, &MalformedResponseError{Reason: "it has both Content-Length and Transfer-Encoding"}
	}
	return h, nil
}

func (h *responseHead) recordField(name, value []byte) error {
	switch {
	case equalFold(name, "Content-Length"):
		if h.hasLength {
			return &MalformedResponseError{Reason: "it has more than one Content-Length"}
		}
		if !allDigits(value) {
			return &MalformedResponseError{Reason: "its Content-Length is not a number"}
		}
		h.hasLength = true
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

// hasBody reports whether the response has a body. headRequest is true for a
// response to a HEAD request.
func (h *responseHead) hasBody(headRequest bool) bool {
	return !headRequest && h.status != fasthttp.StatusNoContent && h.status != fasthttp.StatusNotModified
}

// delimited reports whether the end of the body can be distinguished from a broken
// connection. That is not so for a body that ends when the connection closes.
func (h *responseHead) delimited(headRequest bool) bool {
	return h.hasLength || h.chunked || !h.hasBody(headRequest)
}

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
