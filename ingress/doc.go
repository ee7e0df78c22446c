// Package ingress serves callers over HTTP/1.1.
//
// Each connection has a goroutine that reads pipelined requests and one for each
// request in flight, up to a limit; responses are written in the order of the
// requests. Because reading never pauses, a caller's disconnect is detected while
// its requests run, and their contexts are cancelled. Package fasthttp, which the
// rest of the project uses, detects it only after the response.
package ingress
