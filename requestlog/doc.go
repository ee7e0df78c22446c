// Package requestlog records what happened to single requests: the admission,
// the claim, each attempt at an upstream, and the end.
//
// A request gathers its steps in a Trace of fixed size, which only the goroutine
// of the request touches. At the end a Recorder decides whether the steps are
// kept. Refusals, unknown outcomes, retries and shifts between regions are kept
// within a bound per second, and one of 1,000 other requests. Nothing of a
// request's path, header or body is recorded.
package requestlog
