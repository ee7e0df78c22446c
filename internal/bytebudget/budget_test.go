package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a few bodies without end that leave no memory for small ones.
func TestHogsLeaveRoomForSmallBodies(t *testing.T) {
	const total, hogs = 1 << 20, 3
	b := New(total)
	for range hogs {
		hog := b.Open()
		for hog.Reserve(1<<10) == nil {
		}
	}
	require.LessOrEqual(t, b.Used(), int64(total))
	require.GreaterOrEqual(t, total-b.Used(), int64(total>>hogs))
	require.NoError(t, b.Open().Reserve(60<<10))
}

func TestReleaseReturnsWholeReservation(t *testing.T) {
	b := New(100)
	a := b.Open()
	require.NoError(t, a.Reserve(20))
	require.NoError(t, a.Reserve(20))
	var exceeded *ExceededError
	require.ErrorAs(t, a.Reserve(20), &exceeded)
	require.Equal(t, ExceededError{Held: 60, Used: 40, Total: 100}, *exceeded)
	a.Release()
	a.Release()
	require.Zero(t, b.Used())
}

func TestReadAllReturnsBodiesWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstChunkBytes - 1, firstChunkBytes, firstChunkBytes + 1, 100 << 10} {
		text := bytes.Repeat([]byte("x"), size)
		for _, length := range []int64{-1, int64(size)} {
			for _, r := range []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text)), iotest.DataErrReader(bytes.NewReader(text))} {
				body, err := ReadAll(r, length, 100<<10, New(1<<20).Open())
				require.NoError(t, err)
				require.Equal(t, text, body)
			}
		}
	}
}

func TestReadAllBoundsBodies(t *testing.T) {
	var tooLarge *http.MaxBytesError
	endless := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)), iotest.ErrReader(errors.New("read beyond the bound")))
	_, err := ReadAll(endless, -1, 10<<10, New(1<<20).Open())
	require.ErrorAs(t, err, &tooLarge)
	_, err = ReadAll(endless, 11<<10, 10<<10, New(1<<20).Open())
	require.ErrorAs(t, err, &tooLarge)
	var exceeded *ExceededError
	_, err = ReadAll(endless, -1, 1<<20, New(100<<10).Open())
	require.ErrorAs(t, err, &exceeded)
}
