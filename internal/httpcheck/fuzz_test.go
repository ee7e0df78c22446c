package httpcheck

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// textConn is a connection from which a text is read.
type textConn struct {
	net.Conn
	text io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// Guards against a response that fasthttp and the scanner divide differently into interim
// and final ones, so that an impossible status or a broken field remains unchecked.
func FuzzCheckedConn(f *testing.F) {
	for _, status := range []string{"200", "000", "099", "600"} {
		f.Add("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}", false)
		f.Add("\r\nHTTP/1.1 103 X\r\nA: 1\r\n 2\r\nB:\r\n\r\n\r\nHTTP/1.1  "+status+"\r\nContent-Length: 0\r\n\r\n", true)
		f.Add("HTTP/1.1 100 X\n\nHTTP/1.0 "+status+" \nA: b\r\n\r\n", false)
	}
	f.Add("HTTP/1.1 101 X\r\nA b: c\r\n\r\nHTTP/1.1 200 X\r\nA : b\r\nContent Length: 0\r\n\r\n", false)
	f.Fuzz(func(t *testing.T, text string, single bool) {
		c := textConn{text: strings.NewReader(text)}
		if single {
			c.text = iotest.OneByteReader(c.text)
		}
		var response fasthttp.Response
		if response.ReadLimitBody(bufio.NewReader(CheckedConn(c)), 1<<20) != nil {
			return
		}
		for name := range response.Header.All() {
			require.NotContains(t, string(name), " ", "%q", text)
		}
		status := response.StatusCode()
		require.True(t, IsFinal(status) || status == fasthttp.StatusSwitchingProtocols, "%q: %d", text, status)
		// fasthttp reports 000 as 200.
		if status == fasthttp.StatusOK {
			require.Contains(t, text, "200")
		}
	})
}
