package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	adminTimeout = 5 * time.Second
	// maxResponseBytes bounds the response of an admin call; 10,000 runs take about 5 MB.
	maxResponseBytes = 64 << 20
)

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	Method string
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.URL, e.Status, e.Body)
}

// call sends a JSON body, which may be nil, and decodes the answer if into is
// not nil. The token may be empty.
func call(ctx context.Context, method, url, token string, body, into any) error {
	return callWithin(ctx, adminTimeout, method, url, token, body, into)
}

func callWithin(ctx context.Context, timeout time.Duration, method, url, token string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "request body")
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Method: method, URL: url, Status: response.StatusCode, Body: string(bytes.TrimSpace(text))}
	}
	if into == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(text, into), "answer of %s", url)
}
