// Package upstream is a stand-in of the upstreams that serve routes. One
// process serves many upstreams, one listener each, and one admin listener.
//
// It is a test program and is not shipped. It records every run of every
// operation, so that a check can count duplicated, lost and truncated work. It
// uses net/http: its handlers see a client that closes, may abort a connection,
// and reach the raw connection through ConnContext.
package upstream
