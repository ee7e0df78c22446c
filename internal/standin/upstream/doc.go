// Package upstream implements stand-ins for the upstreams that serve routes. One
// process serves many upstreams with a listener each, and one admin listener.
//
// It is a test program and is not shipped. It records every run of every
// operation, so that tests can count duplicated, lost and truncated work. It uses
// net/http, whose handlers can detect a client disconnect, abort a connection and
// access the raw connection through ConnContext.
package upstream
