package client

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against a response with an impossible status that counts as the refusal of a
// note, which may have been accepted.
func TestImpossibleStatusIsNoRefusal(t *testing.T) {
	for _, status := range responsetest.Impossible {
		t.Run(status, func(t *testing.T) {
			address := responsetest.Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
			_, err := New(Config{Hosts: []string{address}}).Apply(context.Background(), nil)
			var undecided *UndecidedError
			require.ErrorAs(t, err, &undecided)
			_, err = New(Config{Hosts: []string{address}}).Notes(context.Background())
			var unreachable *UnreachableError
			require.ErrorAs(t, err, &unreachable)
		})
	}
}

// Guards against a response with a broken header line that counts as success, or as the
// refusal of a note, which may have been accepted.
func TestBrokenHeaderLineIsNoResponse(t *testing.T) {
	for _, status := range []string{"200", "409"} {
		for _, line := range responsetest.BrokenLines {
			t.Run(fmt.Sprintf("%s %q", status, line), func(t *testing.T) {
				address := responsetest.Serve(t, "HTTP/1.1 "+status+" X\r\nA: b\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
				_, err := New(Config{Hosts: []string{address}}).Apply(context.Background(), nil)
				var undecided *UndecidedError
				require.ErrorAs(t, err, &undecided)
				_, err = New(Config{Hosts: []string{address}}).Notes(context.Background())
				var unreachable *UnreachableError
				require.ErrorAs(t, err, &unreachable)
			})
		}
	}
}
