package dispatch

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/keys"
)

// hopByHop are the headers that apply to a single connection; see RFC 9110, section
// 7.6.1. It includes the framing headers, because the codec writes its own.
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

// notForwardedUpstream are request headers that upstreams must not receive.
var notForwardedUpstream = map[string]bool{
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

// notForwardedToCaller are response headers that callers must not receive.
var notForwardedToCaller = map[string]bool{
	HeaderRequestID:   true,
	HeaderNotRun:      true,
	HeaderDraining:    true,
	"Request-Outcome": true,
}

// defaultHost is the Host of requests that came without one.
const defaultHost = "upstream"

// secretFilter finds a caller's key in data that would be forwarded.
type secretFilter struct {
	secret string
}

func newSecretFilter(key keys.Key) secretFilter {
	if key.IsZero() {
		return secretFilter{}
	}
	return secretFilter{secret: key.Secret()}
}

// maxDecodings limits the layers of percent-encoding that are decoded.
const maxDecodings = 3

// contains reports whether a text contains the caller's secret or anything else
// with the format of a key, also percent-encoded.
func (f secretFilter) contains(text []byte) bool {
	for range maxDecodings {
		if f.containsLiteral(text) {
			return true
		}
		if bytes.IndexByte(text, '%') < 0 {
			return false
		}
		text = percentDecoded(text)
	}
	return f.containsLiteral(text)
}

func (f secretFilter) containsLiteral(text []byte) bool {
	if len(text) < keys.SecretLength {
		return false
	}
	return f.secret != "" && bytes.Contains(text, []byte(f.secret)) || keys.Contains(text)
}

// containsFold is like contains, but ignores case, because the codec changes the
// case of header names.
func (f secretFilter) containsFold(name []byte) bool {
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

// stripSecrets returns the target without the query parameters that contain a
// key. The order and encoding of the others do not change.
func (f secretFilter) stripSecrets(target []byte) []byte {
	path, query, found := bytes.Cut(target, []byte("?"))
	if !found || !f.contains(query) {
		return target
	}
	kept := make([][]byte, 0, bytes.Count(query, []byte("&"))+1)
	for _, parameter := range bytes.Split(query, []byte("&")) {
		if !f.contains(parameter) {
			kept = append(kept, parameter)
		}
	}
	joined := bytes.Join(kept, []byte("&"))
	if f.contains(joined) || len(joined) == 0 {
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

func containsHeader(names map[string]bool, name []byte) bool {
	return len(names) > 0 && names[strings.ToLower(string(name))]
}

// copyRequest fills the header that is sent upstream. Trailers are not copied: the
// body is forwarded with a Content-Length, so it can't have any.
func copyRequest(from *fasthttp.Request, to *fasthttp.RequestHeader, target []byte, filter secretFilter) {
	to.SetNoDefaultContentType(true)
	to.SetMethodBytes(from.Header.Method())
	to.SetRequestURIBytes(filter.stripSecrets(target))
	// HTTP/1.0 callers may omit Host, which HTTP/1.1 upstreams require.
	to.SetHost(defaultHost)
	if host := from.Header.Host(); len(host) > 0 {
		to.SetHostBytes(host)
	}
	names := connectionNames(from.Header.PeekAll("Connection"))
	for name, value := range from.Header.All() {
		if hopByHop[string(name)] || notForwardedUpstream[string(name)] || containsHeader(names, name) {
			continue
		}
		if filter.containsFold(name) || filter.contains(value) {
			continue
		}
		to.AddBytesKV(name, value)
	}
}

// copyResponse fills the response that the caller gets. The body is moved, not
// copied.
func copyResponse(from, to *fasthttp.Response) {
	to.Header.SetNoDefaultContentType(true)
	to.SetStatusCode(from.StatusCode())
	names := connectionNames(from.Header.PeekAll("Connection"))
	for name, value := range from.Header.All() {
		if hopByHop[string(name)] || notForwardedToCaller[string(name)] || containsHeader(names, name) {
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

// ContainsKey reports whether a text contains the key or anything else with the
// format of a key, also percent-encoded.
func ContainsKey(key keys.Key, text []byte) bool {
	return newSecretFilter(key).contains(text)
}

// BodyContainsKey is ContainsKey for a body. Percent-encoding is not decoded: no
// character of a key needs it, and bodies are large.
func BodyContainsKey(key keys.Key, body []byte) bool {
	return newSecretFilter(key).containsLiteral(body)
}
