// Package platform is a stand-in of the platform: its object store and its host
// list, with faults that can be switched over HTTP.
//
// It is a test program and is not shipped. All state is in memory. It uses
// net/http because some faults end a connection without an answer, which a
// handler does there by http.ErrAbortHandler.
package platform
