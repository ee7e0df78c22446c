// Package requestlog records the steps of individual requests: the admission, the
// claim, each attempt at an upstream, and the end.
//
// The steps of a request are collected in a Trace of fixed size, which only the
// goroutine of the request uses. At the end a Recorder decides whether to keep
// them. Requests that were refused, had an unknown outcome, were retried or were
// shifted between regions are kept up to a limit per second; of all other requests
// one in 1,000 is kept. No part of a request's path, header or body is recorded.
package requestlog
