package httpcheck

import (
	"bytes"
	"cmp"
	"net"
)

// CheckedConn returns a connection of an HTTP/1 client whose reads fail with
// *StatusError at a response with an impossible status. Clients of fasthttp need it
// because fasthttp reports 000 as 200. Each write begins a new exchange.
func CheckedConn(c net.Conn) net.Conn { return &checkedConn{Conn: c} }

// checkedConn is the connection that CheckedConn returns.
type checkedConn struct {
	net.Conn
	scanner scanner
	// err is the error of all further reads.
	err error
}

func (c *checkedConn) Write(p []byte) (int, error) {
	// The next byte that is read is the first one of the response.
	c.scanner = scanner{}
	return c.Conn.Write(p)
}

func (c *checkedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	n, c.err = c.scanner.scan(p[:n])
	if c.err != nil && n > 0 {
		// fasthttp replaces an error before the first byte of a response, so it gets the
		// incomplete status line first.
		return n, nil
	}
	return n, cmp.Or(c.err, err)
}

// scanner checks the status lines of a response, those of interim responses
// included.
type scanner struct {
	// line is the status line as far as it is read, of which the end may be missing.
	line   [32]byte
	length int
	// inHeader is true in the header of an interim response.
	inHeader bool
	// inField is true after the first byte of a line of that header.
	inField bool
	// done is true after the status line of the final response.
	done bool
}

// scan returns how many bytes may be passed on: all, or with an error those before the
// end of the impossible status line.
func (s *scanner) scan(text []byte) (int, error) {
	for i, c := range text {
		switch {
		case s.done:
			return len(text), nil
		case s.inHeader && c == '\n':
			s.inHeader, s.inField = s.inField, false
		case s.inHeader:
			s.inField = s.inField || c != '\r'
		case c == '\n':
			if err := s.endLine(); err != nil {
				return i, err
			}
		case s.length < len(s.line):
			s.line[s.length] = c
			s.length++
		}
	}
	return len(text), nil
}

// endLine checks a complete status line. Empty lines before it are skipped, as fasthttp
// does.
func (s *scanner) endLine() error {
	line := bytes.TrimRight(s.line[:s.length], "\r")
	s.length = 0
	if len(line) == 0 {
		return nil
	}
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	if err := Status(string(status)); err != nil {
		return err
	}
	s.inHeader = status[0] == '1' && !bytes.HasPrefix(status, []byte("101"))
	s.done = !s.inHeader
	return nil
}
