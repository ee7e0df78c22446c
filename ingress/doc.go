// Package ingress serves callers over HTTP/1.1.
//
// Each connection has one goroutine that reads requests ahead and one for each
// request in progress, up to a bound; responses are written in the order of the
// requests. Because the reader never stops, a caller that leaves is noticed while
// its requests run, and their contexts are cancelled. Package fasthttp, which the
// rest of the project uses, notices it only after the response.
package ingress
