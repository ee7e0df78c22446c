// Package edge is the entry host on the users' platform: it admits callers'
// requests, sends them to upstreams, and tells callers which entry hosts to use.
//
// Everything that it knows comes from the platform's store through package
// catalog; nothing is kept on the host. Decisions are in packages policy, quota
// and steering, connections in ingress and upstream. This package connects them:
// settings and start (edge.go), the state machines and peers (control.go), what is
// followed in the store (follow.go), one request (request.go), parts of weighted
// routes (split.go), requests that crash upstreams (suspect.go), look-ups and
// readiness (directory.go), the planned stop (drain.go), metrics (metrics.go).
package edge
