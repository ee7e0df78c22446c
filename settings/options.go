package settings

import (
	"fmt"
	"io"
	"os"

	"github.com/catkinspring/catkinspring/internal/jsonc"
)

// EdgeOptions are what the operators choose for `catkinspring edge`, beside the settings that
// the platform provides. The names of the fields in the file are part of the operators' interface.
type EdgeOptions struct {
	SecondAttempts SecondAttempts `json:"second_attempts"`
}

// SecondAttempts configures second attempts at slow requests (hedged requests).
type SecondAttempts struct {
	// MaxShare is the share of a service's requests that may get a second attempt. Default 0, which
	// turns them off; 0 to 0.2.
	MaxShare float64 `json:"max_share"`
	// Quantile is the quantile of the times of a route's attempts after which the second attempt
	// starts. Default 0.95; 0.5 to 0.999.
	Quantile float64 `json:"quantile"`
}

// DefaultEdgeOptions returns the options of an empty file.
func DefaultEdgeOptions() EdgeOptions {
	return EdgeOptions{SecondAttempts: SecondAttempts{Quantile: 0.95}}
}

// LoadEdgeOptions reads a file of options. It returns *ReadError or *Error.
func LoadEdgeOptions(path string) (EdgeOptions, error) {
	text, err := readFile(path)
	if err != nil {
		return EdgeOptions{}, &ReadError{File: path, Cause: err}
	}
	o, problems := ParseEdgeOptions(text)
	if len(problems) > 0 {
		return EdgeOptions{}, &Error{File: path, Problems: problems}
	}
	return o, nil
}

// ParseEdgeOptions reads and checks the text of a file of options. If there are problems it returns
// all of them.
func ParseEdgeOptions(text []byte) (EdgeOptions, []jsonc.Problem) {
	if len(text) > MaxFileSize {
		return EdgeOptions{}, []jsonc.Problem{{Line: 1, Column: 1, Want: fmt.Sprintf("must have at most %d bytes", MaxFileSize)}}
	}
	o := DefaultEdgeOptions()
	c := &checker{doc: jsonc.Decode(text, &o)}
	c.share("second_attempts.max_share", o.SecondAttempts.MaxShare, 0, 0.2)
	c.share("second_attempts.quantile", o.SecondAttempts.Quantile, 0.5, 0.999)
	return o, c.doc.Problems()
}

func (c *checker) share(path string, value, low, high float64) {
	if value < low || value > high {
		c.fail(path, fmt.Sprintf("must be %v to %v", low, high))
	}
}

// readFile returns the content of a file, of which it reads at most one byte more than MaxFileSize.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileSize+1))
}
