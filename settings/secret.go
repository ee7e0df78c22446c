package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
)

// maxSecretSize bounds a secret, in bytes.
const maxSecretSize = 4096

// SecretRef refers to a secret in a file or in an environment variable, never
// both.
type SecretRef struct {
	// File is the path of a file that holds the secret. White space around it is
	// ignored.
	File string `json:"file"`
	// Environment is the name of an environment variable.
	Environment string `json:"environment"`
}

// IsZero reports whether the reference is unset.
func (r SecretRef) IsZero() bool { return r == SecretRef{} }

// Secret holds a secret and never formats or marshals its value.
type Secret struct{ value string }

// hidden is the placeholder printed instead of a secret.
const hidden = "(hidden)"

// String returns a placeholder.
func (Secret) String() string { return hidden }

// GoString returns a placeholder.
func (Secret) GoString() string { return hidden }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Reveal returns the value of the secret.
func (s Secret) Reveal() string { return s.value }

// Read returns the secret or a *SecretError. For an unset reference it returns an
// empty secret.
func (r SecretRef) Read() (Secret, error) {
	if r.IsZero() {
		return Secret{}, nil
	}
	if r.Environment != "" {
		value, ok := os.LookupEnv(r.Environment)
		if !ok || value == "" {
			return Secret{}, &SecretError{Ref: r, Reason: "the variable is not set"}
		}
		return Secret{value: value}, nil
	}
	return r.readFile()
}

func (r SecretRef) readFile() (Secret, error) {
	file, err := os.Open(r.File)
	if err != nil {
		return Secret{}, &SecretError{Ref: r, Reason: "the file cannot be opened", Cause: err}
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, maxSecretSize+1))
	if err != nil {
		return Secret{}, &SecretError{Ref: r, Reason: "the file cannot be read", Cause: err}
	}
	value := bytes.TrimSpace(raw)
	if len(value) == 0 || len(raw) > maxSecretSize {
		return Secret{}, &SecretError{Ref: r, Reason: fmt.Sprintf("the file must hold 1 to %d bytes", maxSecretSize)}
	}
	return Secret{value: string(value)}, nil
}

// SecretError reports a secret that could not be read. It never contains the secret.
type SecretError struct {
	Ref    SecretRef
	Reason string
	Cause  error
}

func (e *SecretError) Error() string {
	location := "file " + e.Ref.File
	if e.Ref.Environment != "" {
		location = "environment variable " + e.Ref.Environment
	}
	if e.Cause != nil {
		return fmt.Sprintf("secret in %s: %s: %v", location, e.Reason, e.Cause)
	}
	return fmt.Sprintf("secret in %s: %s", location, e.Reason)
}

// Unwrap returns the cause.
func (e *SecretError) Unwrap() error { return e.Cause }

var environmentName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
