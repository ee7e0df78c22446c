package load

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against callers that record a response with an impossible status, which fasthttp
// reports as 200 if it is 000, as a response of an entry host.
func TestImpossibleStatusIsAFailure(t *testing.T) {
	for _, status := range responsetest.Impossible {
		requireLost(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// Guards against callers that record a response with a broken header line as a response of an
// entry host.
func TestBrokenHeaderLineIsAFailure(t *testing.T) {
	for _, line := range slices.Concat(responsetest.BrokenLines, responsetest.FoldedLines) {
		requireLost(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
	}
}

func requireLost(t *testing.T, text string) {
	t.Helper()
	address := netip.MustParseAddrPort(responsetest.Serve(t, text))
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + address.String() + "/")
	client := newClient(address)
	err := client.Do(&request, &response)
	client.CloseIdleConnections()
	require.Error(t, err, "%q", text)
	require.Equal(t, FailureLost, classifyFailure(err), "%q", text)
}
