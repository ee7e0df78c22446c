// Package edge implements the entry host on the users' platform: it admits
// callers' requests, forwards them to upstreams, and answers lookups of the entry
// hosts that callers should use.
//
// All its data comes from the platform's store through package catalog; nothing
// is persisted on the host. Packages policy, limits and steering make the
// decisions, ingress and upstream handle the connections. This package connects
// them: settings and start-up (edge.go), state machines and peers (control.go),
// watches of the store (follow.go), how recent the copies are (progress.go), request
// handling (request.go), weighted routes (split.go), requests that crash upstreams
// (suspect.go), lookups and readiness (directory.go), planned stop (drain.go), metrics
// (metrics.go).
package edge
