package httpcheck

import (
	"bytes"
	"cmp"
	"io"
	"net"
)

// Reader reads HTTP/1 responses from a source and checks their headers, those of interim
// responses included. Its reads fail with *StatusError or *FieldError at the first broken
// line. What precedes the break is passed on unchanged.
type Reader struct {
	source  io.Reader
	scanner scanner
	// err is the error of all further reads.
	err error
}

// NewReader returns a Reader of a source, at the beginning of a response.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Begin makes the next byte the first one of a response. If bytes of it have been read
// already, they are checked at once.
func (r *Reader) Begin(read []byte) error {
	r.scanner = scanner{}
	if r.err == nil {
		_, r.err = r.scanner.scan(read)
	}
	return r.err
}

// Err returns the *StatusError or *FieldError that was found, or nil. A parser that gets the
// beginning of a broken line may report it as malformed before it reads on.
func (r *Reader) Err() error { return r.err }

func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	n, r.err = r.scanner.scan(p[:n])
	if r.err != nil && n > 0 {
		// fasthttp replaces an error before the first byte of a response, so it gets the
		// incomplete line first.
		return n, nil
	}
	return n, cmp.Or(r.err, err)
}

// CheckedConn returns a connection of an HTTP/1 client that reads through a Reader. Clients
// of fasthttp need it, because fasthttp reports 000 as 200 and accepts spaces in names. Each
// write begins a new exchange, so the client must not write while it reads a response.
func CheckedConn(c net.Conn) net.Conn { return &checkedConn{Conn: c, reader: NewReader(c)} }

// checkedConn is the connection that CheckedConn returns.
type checkedConn struct {
	net.Conn
	reader *Reader
}

func (c *checkedConn) Write(p []byte) (int, error) {
	// The next byte that is read is the first one of the response. An earlier error stays
	// that of all further reads.
	_ = c.reader.Begin(nil)
	return c.Conn.Write(p)
}

func (c *checkedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// scanner checks the header of a response, and those of interim responses before it.
type scanner struct {
	// line is the status line as far as it is read, of which the end may be missing.
	line   [32]byte
	length int
	// inHeader is true after the status line, interim in the header of an interim response.
	inHeader, interim bool
	// field is the present line of the header. inLine is true after its first byte.
	field  fieldLine
	inLine bool
	// afterCR is true after a carriage return, which is part of the line end if a line feed
	// follows.
	afterCR bool
	// done is true after the header of the final response.
	done bool
}

// scan returns how many bytes may be passed on: all, or with an error those before the first
// byte at which the header is broken.
func (s *scanner) scan(text []byte) (int, error) {
	for i, c := range text {
		if s.done {
			break
		}
		if err := s.add(c); err != nil {
			return i, err
		}
	}
	return len(text), nil
}

func (s *scanner) add(c byte) error {
	switch {
	case s.inHeader:
		return s.addToHeader(c)
	case c == '\n':
		return s.endStatusLine()
	case s.length < len(s.line):
		s.line[s.length] = c
		s.length++
	}
	return nil
}

// endStatusLine checks a complete status line. Empty lines before it are skipped, as
// fasthttp does.
func (s *scanner) endStatusLine() error {
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
	s.inHeader, s.interim = true, status[0] == '1' && !bytes.HasPrefix(status, []byte("101"))
	return nil
}

// addToHeader checks the next byte after the status line.
func (s *scanner) addToHeader(c byte) error {
	if c == '\n' {
		return s.endField()
	}
	s.inLine = s.inLine || c != '\r' || s.afterCR
	if s.afterCR {
		s.afterCR = false
		if err := s.field.add('\r'); err != nil {
			return err
		}
	}
	if c == '\r' {
		s.afterCR = true
		return nil
	}
	return s.field.add(c)
}

// endField checks a complete line of the header. An empty one ends the header.
func (s *scanner) endField() error {
	if !s.inLine {
		s.inHeader, s.afterCR, s.done = false, false, !s.interim
		return nil
	}
	err := s.field.end()
	s.field, s.inLine, s.afterCR = fieldLine{}, false, false
	return err
}
