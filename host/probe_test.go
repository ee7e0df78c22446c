package host

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/endless"
	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against a health probe that holds, or waits for the end of, an answer without end.
func TestProbeBoundsAnswersWithoutEnd(t *testing.T) {
	const timeout = time.Second
	endless.Check(t, "", endless.Bounds{Calls: 24, Held: 8 << 20}, func(address string) error {
		_, err := probe(netip.MustParseAddrPort(address), timeout)
		return err
	})
}

// Guards against a probe that counts a response with an impossible status as health.
func TestProbeRejectsImpossibleStatus(t *testing.T) {
	for _, status := range responsetest.Impossible {
		address := responsetest.Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 10\r\n\r\n{\"load\":1}")
		_, err := probe(netip.MustParseAddrPort(address), time.Second)
		require.Error(t, err, status)
	}
}

// Guards against a probe that counts a response with a broken header line as health.
func TestProbeRejectsBrokenHeaderLines(t *testing.T) {
	for _, line := range slices.Concat(responsetest.BrokenLines, responsetest.FoldedLines) {
		address := responsetest.Serve(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\nContent-Length: 10\r\n\r\n{\"load\":1}")
		_, err := probe(netip.MustParseAddrPort(address), time.Second)
		require.Error(t, err, "%q", line)
	}
}

// Guards against a probe that counts the body of an error as the health of an upstream
// without load, to which most requests would then be sent.
func TestProbeRejectsErrors(t *testing.T) {
	for status, failed := range map[string]bool{"200": false, "101": true, "204": true, "302": true, "404": true, "500": true, "503": true} {
		address := responsetest.Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 17\r\n\r\n{\"error\":\"other\"}")
		_, err := probe(netip.MustParseAddrPort(address), time.Second)
		require.Equal(t, failed, err != nil, status)
	}
}
