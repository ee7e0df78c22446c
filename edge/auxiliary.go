package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// maxAuxiliaryConnections bounds the connections of one auxiliary listener; further ones
	// wait to be accepted. Above lowIdleConnections, connections are not kept after a response.
	maxAuxiliaryConnections = 600
	lowIdleConnections      = maxAuxiliaryConnections / 2
	// auxiliaryHeaderTimeout, auxiliaryTimeout and auxiliaryIdleTimeout bound the time for
	// reading a header, for a whole request and its response, and between two requests.
	auxiliaryHeaderTimeout = time.Second
	auxiliaryTimeout       = 2 * time.Second
	auxiliaryIdleTimeout   = time.Minute
	// auxiliaryHeaderBytes bounds the header of a request.
	auxiliaryHeaderBytes = 8 << 10
)

// auxiliaryServer serves requests without a body beside those of callers: readiness, lookups
// and metrics. Whatever its clients send, it holds little memory and few descriptors.
type auxiliaryServer struct {
	http.Server
	open atomic.Int64
}

func newAuxiliaryServer(h http.Handler) *auxiliaryServer {
	s := &auxiliaryServer{Server: http.Server{
		Handler:           http.MaxBytesHandler(h, 0),
		ReadHeaderTimeout: auxiliaryHeaderTimeout,
		ReadTimeout:       auxiliaryTimeout,
		WriteTimeout:      auxiliaryTimeout,
		IdleTimeout:       auxiliaryIdleTimeout,
		MaxHeaderBytes:    auxiliaryHeaderBytes,
	}}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.SetKeepAlivesEnabled(s.open.Add(1) <= lowIdleConnections)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	return s
}

// serve serves a listener until the server is closed.
func (s *auxiliaryServer) serve(l net.Listener) error {
	return s.Serve(netutil.LimitListener(l, maxAuxiliaryConnections))
}
