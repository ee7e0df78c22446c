package httpcheck

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against rejecting a response after interim ones, or one that arrives in pieces.
func TestScanner(t *testing.T) {
	const text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: 000\r\n\r\n\r\nHTTP/1.1 %s X\r\nA: b\r\n\r\nHTTP/1.1 000\r\n"
	for _, size := range []int{1, 7, 500} {
		scan := func(status string) error {
			var s scanner
			for part := range slices.Chunk([]byte(fmt.Sprintf(text, status)), size) {
				if _, err := s.scan(part); err != nil {
					return err
				}
			}
			return nil
		}
		require.NoError(t, scan("200"))
		require.NoError(t, scan("599"))
		require.Error(t, scan("099"))
	}
}
