// Package ingress serves callers over HTTP/1.1.
//
// Each connection has a goroutine that reads pipelined requests and one for each
// request in flight; responses are written in the order of the requests. Because
// reading continues while requests run, up to maxPipelined, a caller's disconnect is
// detected then, and the contexts of its requests are cancelled. Package fasthttp,
// which the rest of the project uses, detects it only after the response.
package ingress
