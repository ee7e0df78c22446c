package bytebudget

import (
	"io"
	"net/http"
)

// firstChunkBytes is the size of the buffer for a body of unknown length; it doubles
// while the body continues.
const firstChunkBytes = 4 << 10

// ReadAll reads a body and reserves its bytes before it reads them. length is the
// announced length, or negative if it is unknown. It returns a *http.MaxBytesError for
// a body of more than limit bytes, a *ExceededError, or the error of the reader.
func ReadAll(r io.Reader, length, limit int64, a *Account) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	size := length
	if size < 0 {
		size = min(firstChunkBytes, limit)
	}
	// One more byte than announced lets the reader return io.EOF without another buffer.
	if err := a.Reserve(size + 1); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size+1)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case err == io.EOF: //nolint:errorlint // io.Reader returns it unwrapped
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		// While the body is copied, both buffers are held.
		old, grown := int64(cap(body)), min(2*int64(cap(body)), limit+1)
		if err := a.Reserve(grown); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, grown), body...)
		a.giveBack(old)
	}
}
