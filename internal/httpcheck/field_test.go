package httpcheck

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against lines that SplitField and Reader judge differently, in whatever pieces a
// header arrives.
func TestBrokenLines(t *testing.T) {
	read := func(line string, single bool) error {
		var source io.Reader = strings.NewReader("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\nC: d\r\n\r\nbody with a : line\r\n \r\n")
		if single {
			source = iotest.OneByteReader(source)
		}
		_, err := io.ReadAll(NewReader(source))
		return err
	}
	for _, line := range slices.Concat(responsetest.BrokenLines, responsetest.FoldedLines) {
		var broken *FieldError
		_, _, err := SplitField([]byte(line))
		require.ErrorAs(t, err, &broken, "%q", line)
		require.ErrorAs(t, read(line, false), &broken, "%q", line)
		require.ErrorAs(t, read(line, true), &broken, "%q", line)
	}
	for _, line := range responsetest.UnusualLines {
		name, value, err := SplitField([]byte(line))
		require.NoError(t, err, "%q", line)
		wantName, wantValue, _ := strings.Cut(line, ":")
		require.Equal(t, wantName, string(name))
		require.Equal(t, strings.TrimSpace(wantValue), string(value))
		require.NoError(t, read(line, false), "%q", line)
		require.NoError(t, read(line, true), "%q", line)
	}
}

// Guards against an announced trailer that was not sent being taken for a broken field.
func TestFieldNames(t *testing.T) {
	require.NoError(t, FieldNames(http.Header{"A": {"b"}, "Not sent": nil}))
	for _, name := range []string{"A b", "A ", "A\t"} {
		require.Error(t, FieldNames(http.Header{name: {"b"}}), "%q", name)
	}
}
