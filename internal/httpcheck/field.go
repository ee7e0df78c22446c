package httpcheck

import (
	"bytes"
	"net/http"
)

// FieldError reports a line of a header or trailer that is not a field.
type FieldError struct {
	Reason string
}

func (e *FieldError) Error() string { return e.Reason }

// SplitField splits a header line, without its line end, into name and value.
// It returns a *FieldError for syntax that lenient parsers read differently: folded
// lines, white space around the name, and line ends without a carriage return.
func SplitField(line []byte) (name, value []byte, err error) {
	var f fieldLine
	for _, c := range line {
		if err := f.add(c); err != nil {
			return nil, nil, err
		}
	}
	if err := f.end(); err != nil {
		return nil, nil, err
	}
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.Trim(value, " \t"), nil
}

// Response returns a *StatusError or *FieldError for the header of a response that net/http
// accepts, but HTTP does not define.
func Response(r *http.Response) error {
	if err := Status(r.Status); err != nil {
		return err
	}
	return FieldNames(r.Header)
}

// FieldNames returns a *FieldError for names that the parser of net/http accepts in a header
// or trailer, but that are not allowed, such as those with a space. The parser has joined
// folded lines.
func FieldNames(h http.Header) error {
	for name, values := range h {
		if len(values) == 0 {
			continue // a trailer that was announced and not sent
		}
		for i := range len(name) {
			if !tokenChars[name[i]] {
				return errFieldName()
			}
		}
	}
	return nil
}

func errFieldName() error {
	return &FieldError{Reason: "a header name holds a character that is not allowed"}
}

func errNoFieldName() error { return &FieldError{Reason: "a header line has no name"} }

// fieldLine checks one line of a header, byte by byte, without its line end; see RFC 9112,
// section 5.
type fieldLine struct {
	// hasName is true after the first byte of the name, inValue after the colon.
	hasName, inValue bool
}

// add returns a *FieldError if no field can have the next byte at its position.
func (f *fieldLine) add(c byte) error {
	switch {
	case f.inValue:
		if c < ' ' && c != '\t' || c == 0x7f {
			return &FieldError{Reason: "a header value holds a control character"}
		}
	case tokenChars[c]:
		f.hasName = true
	case c != ':':
		return errFieldName()
	case !f.hasName:
		return errNoFieldName()
	default:
		f.inValue = true
	}
	return nil
}

// end returns a *FieldError unless the bytes are a whole line.
func (f *fieldLine) end() error {
	if !f.inValue {
		return errNoFieldName()
	}
	return nil
}

// tokenChars are the characters of a token; see RFC 9110, section 5.6.2.
var tokenChars = func() (set [256]bool) {
	for c := '0'; c <= '9'; c++ {
		set[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		set[c] = true
		set[c-'a'+'A'] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}()
