// Package platform implements an in-memory stand-in for the platform: its object
// store and its host list, with faults that can be injected over HTTP.
//
// It is a test program and is not shipped. It uses net/http because some faults
// close a connection without a response, for which a handler panics with
// http.ErrAbortHandler.
package platform
