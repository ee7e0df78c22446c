package dispatch

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against a probe that counts bytes that are no response, such as one with an
// impossible status. The failure of the upstream would be counted as one of the connection.
func TestProbeCountsResponsesOnly(t *testing.T) {
	b := newTestDispatcher()
	probe := func(response string) probeResult {
		return b.prober.probe(netip.MustParseAddrPort(responsetest.Serve(t, response)))
	}
	for _, status := range responsetest.Impossible {
		require.Equal(t, probeFailed, probe("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"), status)
	}
	for _, status := range []string{"200", "404", "500", "503"} {
		require.Equal(t, probeResponded, probe("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"), status)
	}
}

// Guards against a probe that counts a response with a broken header line.
func TestProbeRejectsBrokenHeaderLines(t *testing.T) {
	b := newTestDispatcher()
	for _, line := range brokenLines {
		address := responsetest.Serve(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
		require.Equal(t, probeFailed, b.prober.probe(netip.MustParseAddrPort(address)), "%q", line)
	}
}

// Guards against a status check that differs from that of other responses.
func TestHeadWithImpossibleStatusIsMalformed(t *testing.T) {
	for _, status := range responsetest.Impossible {
		_, err := parseHead([]byte("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"))
		var malformed *MalformedResponseError
		require.ErrorAs(t, err, &malformed, status)
	}
}
