package load

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against callers that record a response with an impossible status, which fasthttp
// reports as 200 if it is 000, as a response of an entry host.
func TestImpossibleStatusIsAFailure(t *testing.T) {
	for _, status := range responsetest.Impossible {
		address := netip.MustParseAddrPort(responsetest.Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"))
		var request fasthttp.Request
		var response fasthttp.Response
		request.SetRequestURI("http://" + address.String() + "/")
		client := newClient(address)
		err := client.Do(&request, &response)
		client.CloseIdleConnections()
		require.Error(t, err, status)
		require.Equal(t, FailureLost, classifyFailure(err), status)
	}
}
