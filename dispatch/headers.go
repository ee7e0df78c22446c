package dispatch

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/keys"
)

// hopByHop are the headers that concern one connection only; see RFC 9110,
// section 7.6.1. Framing headers are among them because the codec writes its own.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Http2-Settings":      true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
}

// callerOnly are request headers that end at the entry host.
var callerOnly = map[string]bool{
	"Authorization":     true,
	"Expect":            true,
	"X-Request-Timeout": true,
	HeaderRequestID:     true,
	HeaderCustomer:      true,
	HeaderDeadline:      true,
	HeaderNotRun:        true,
	HeaderDraining:      true,
	"Host":              true,
}

// upstreamOnly are response headers that end at the entry host.
var upstreamOnly = map[string]bool{
	HeaderRequestID:   true,
	HeaderNotRun:      true,
	HeaderDraining:    true,
	"Request-Outcome": true,
}

// defaultHost is the Host of requests that came without one.
const defaultHost = "upstream"

// secretFilter finds a caller's key in what would be forwarded.
type secretFilter struct {
	secret string
}

func newSecretFilter(key keys.Key) secretFilter {
	if key.IsZero() {
		return secretFilter{}
	}
	return secretFilter{secret: key.Secret()}
}

// maxDecodings bounds how many layers of percent-encoding are looked through.
const maxDecodings = 3

// holds reports whether a text holds the caller's secret or anything else with
// the shape of a key, also percent-encoded.
func (f secretFilter) holds(text []byte) bool {
	for range maxDecodings {
		if f.holdsPlain(text) {
			return true
		}
		if bytes.IndexByte(text, '%') < 0 {
			return false
		}
		text = percentDecoded(text)
	}
	return f.holdsPlain(text)
}

func (f secretFilter) holdsPlain(text []byte) bool {
	if len(text) < keys.SecretLength {
		return false
	}
	return f.secret != "" && bytes.Contains(text, []byte(f.secret)) || keys.Contains(text)
}

// holdsFold is holds for header names, whose case does not survive the codec.
func (f secretFilter) holdsFold(name []byte) bool {
	if f.secret == "" || len(name) < keys.SecretLength {
		return false
	}
	return strings.Contains(strings.ToLower(string(name)), strings.ToLower(f.secret))
}

func percentDecoded(text []byte) []byte {
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if value, err := strconv.ParseUint(string(text[i+1:i+3]), 16, 8); err == nil {
				out = append(out, byte(value))
				i += 2
				continue
			}
		}
		out = append(out, text[i])
	}
	return out
}

// withoutSecrets returns the target without the query parameters that hold a
// key. The order and encoding of the others stay.
func (f secretFilter) withoutSecrets(target []byte) []byte {
	path, query, found := bytes.Cut(target, []byte("?"))
	if !found || !f.holds(query) {
		return target
	}
	kept := make([][]byte, 0, bytes.Count(query, []byte("&"))+1)
	for _, parameter := range bytes.Split(query, []byte("&")) {
		if !f.holds(parameter) {
			kept = append(kept, parameter)
		}
	}
	joined := bytes.Join(kept, []byte("&"))
	if f.holds(joined) || len(joined) == 0 {
		return path
	}
	return append(append(bytes.Clone(path), '?'), joined...)
}

// connectionNames returns the header names that a Connection header lists.
func connectionNames(values [][]byte) map[string]bool {
	var names map[string]bool
	for _, value := range values {
		for name := range bytes.SplitSeq(value, []byte(",")) {
			name = bytes.TrimSpace(name)
			if len(name) == 0 {
				continue
			}
			if names == nil {
				names = map[string]bool{}
			}
			names[strings.ToLower(string(name))] = true
		}
	}
	return names
}

func listed(names map[string]bool, name []byte) bool {
	return len(names) > 0 && names[strings.ToLower(string(name))]
}

// copyRequest fills the header that is sent upstream. Trailers are not copied:
// a body is forwarded with its length, so it has none.
func copyRequest(from *fasthttp.Request, to *fasthttp.RequestHeader, target []byte, filter secretFilter) {
	to.SetNoDefaultContentType(true)
	to.SetMethodBytes(from.Header.Method())
	to.SetRequestURIBytes(filter.withoutSecrets(target))
	// HTTP/1.0 callers may send no Host, which HTTP/1.1 upstreams need.
	to.SetHost(defaultHost)
	if host := from.Header.Host(); len(host) > 0 {
		to.SetHostBytes(host)
	}
	names := connectionNames(from.Header.PeekAll("Connection"))
	for name, value := range from.Header.All() {
		if hopByHop[string(name)] || callerOnly[string(name)] || listed(names, name) {
			continue
		}
		if filter.holdsFold(name) || filter.holds(value) {
			continue
		}
		to.AddBytesKV(name, value)
	}
}

// copyResponse fills the response that the caller gets. The body moves to it
// without a copy.
func copyResponse(from, to *fasthttp.Response) {
	to.Header.SetNoDefaultContentType(true)
	to.SetStatusCode(from.StatusCode())
	names := connectionNames(from.Header.PeekAll("Connection"))
	for name, value := range from.Header.All() {
		if hopByHop[string(name)] || upstreamOnly[string(name)] || listed(names, name) {
			continue
		}
		to.Header.AddBytesKV(name, value)
	}
	if from.SkipBody {
		to.SkipBody = true
		if length := from.Header.ContentLength(); length >= 0 {
			to.Header.SetContentLength(length)
		}
		return
	}
	from.SwapBody(to.SwapBody(from.SwapBody(nil)))
}

// HoldsKey reports whether a text holds the key or anything else with the shape
// of a key, also percent-encoded.
func ContainsKey(key keys.Key, text []byte) bool {
	return newSecretFilter(key).holds(text)
}

// BodyHoldsKey is HoldsKey for a body, where percent-encoding is not looked
// through: no character of a key needs it, and bodies are large.
func BodyContainsKey(key keys.Key, body []byte) bool {
	return newSecretFilter(key).holdsPlain(body)
}
