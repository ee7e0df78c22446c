package edge

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/policy"
)

// emptyCodec reads no fields from the header.
type emptyCodec struct{ Codec }

func (emptyCodec) CallerFields(*http.Request) ingress.Fields { return ingress.Fields{ID: "r-1"} }

// Guards against a handler that panics and takes with it the other requests of its
// connection: a connection closed without a response cancels those that were pipelined.
func TestPanicIsAnsweredWithoutAPromise(t *testing.T) {
	var logs bytes.Buffer
	sink := logsink.New(&logs)
	e := &Edge{Options: Options{Codec: emptyCodec{}, LogSink: sink}, log: zerolog.New(sink), logSink: sink, hostMetrics: newHostMetrics()}
	e.snapshot.Store(&policy.Snapshot{})
	// The request has no URL, on which the selection of the route panics.
	response := e.handle(context.Background(), &ingress.Request{Request: &http.Request{}, Received: time.Now()})
	sink.Close()
	require.Contains(t, logs.String(), "request handler panicked")
	require.Equal(t, http.StatusBadGateway, response.Status, "the request may have run")
}
