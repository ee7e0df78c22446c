package gateway

import (
	"bytes"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/problem"
)

// checkFraming guards against request smuggling: it refuses requests whose length
// an intermediary may interpret differently. The codec has already accepted them,
// so the connection must be closed after the refusal.
func checkFraming(header *fasthttp.RequestHeader) error {
	lengths, encodings, hosts := 0, 0, 0
	raw := header.RawHeaders()
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\r\n"))
		if !found {
			return malformed("a header line does not end with a carriage return and a line feed")
		}
		raw = rest
		if len(line) == 0 {
			break
		}
		name, value, err := httpcheck.SplitField(line)
		if err != nil {
			return malformed(err.Error())
		}
		switch {
		case strings.EqualFold(string(name), fasthttp.HeaderContentLength):
			lengths++
		case strings.EqualFold(string(name), fasthttp.HeaderHost):
			hosts++
		case strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding):
			encodings++
			if !strings.EqualFold(string(value), "chunked") {
				return malformed("the transfer encoding is not chunked alone")
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return malformed("the request has more than one framing header")
	}
	if hosts > 1 || hosts == 0 && header.IsHTTP11() {
		return malformed("the request does not have one Host header")
	}
	if !header.IsHTTP11() && encodings > 0 {
		return malformed("an HTTP/1.0 request has a transfer encoding")
	}
	return nil
}

func malformed(detail string) *problem.Error {
	return problem.NotRun(problem.KindMalformed, detail)
}

// requestPath returns the path of the request target, which may be a full URL.
func requestPath(header *fasthttp.RequestHeader) []byte {
	target := header.RequestURI()
	if end := bytes.IndexAny(target, "?#"); end >= 0 {
		target = target[:end]
	}
	if len(target) > 0 && target[0] == '/' {
		return target
	}
	if _, rest, found := bytes.Cut(target, []byte("://")); found {
		if slash := bytes.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return []byte("/")
	}
	return target
}

// canonicalPath returns the decoded path. It refuses paths that an upstream may
// resolve to another route: those with dot segments (with or without path
// parameters), empty segments, encoded slashes, backslashes or control
// characters.
func canonicalPath(raw []byte) (string, error) {
	if len(raw) == 0 || raw[0] != '/' {
		return "", malformed("the request target is not a path")
	}
	decoded := string(raw)
	if strings.IndexByte(decoded, '%') >= 0 {
		var err error
		if decoded, err = url.PathUnescape(decoded); err != nil {
			return "", malformed("the path has an invalid escape")
		}
		if strings.Count(decoded, "/") != bytes.Count(raw, []byte("/")) {
			return "", malformed("the path has an encoded slash")
		}
	}
	for i := range len(decoded) {
		if decoded[i] < ' ' || decoded[i] == 0x7f || decoded[i] == '\\' {
			return "", malformed("the path holds a character that is not allowed")
		}
	}
	for rest, more := decoded[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || name == "" && more {
			return "", malformed("the path has a dot segment or an empty one")
		}
	}
	return decoded, nil
}
