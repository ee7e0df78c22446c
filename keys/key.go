package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"

	"github.com/catkinspring/catkinspring/configuration"
)

// The parts of an encoded key; all lengths are in bytes.
const (
	prefix       = "ck_"
	IDLength     = 16
	SecretLength = 43
	separator    = '_'
	idEnd        = len(prefix) + IDLength
	// Length is the length of a whole encoded key.
	Length = idEnd + 1 + SecretLength
)

const (
	idBytes     = 8
	secretBytes = 32
)

// secretEncoding rejects a secret whose unused trailing bits are set, so that
// each key has exactly one encoding.
var secretEncoding = base64.RawURLEncoding.Strict()

// Digest is the SHA-256 of a whole key.
type Digest [configuration.KeyDigestSize]byte

// Hex returns the digest as it is stored.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Matches reports whether the digest equals a stored one. The comparison takes
// constant time. A stored text that is not a digest never matches.
func (d Digest) Matches(stored string) bool {
	var want Digest
	if len(stored) != hex.EncodedLen(len(want)) {
		return false
	}
	if _, err := hex.Decode(want[:], []byte(stored)); err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(d[:], want[:]) == 1
}

// Key is a plaintext key. It formats as its ID with the secret redacted.
type Key struct {
	text string
}

// Generate returns a new key from the system's cryptographic random source. The
// source ends the process if it fails, so a key never consists of weak bytes.
func Generate() Key {
	var id [idBytes]byte
	var secret [secretBytes]byte
	rand.Read(id[:])
	rand.Read(secret[:])
	return Key{text: prefix + hex.EncodeToString(id[:]) + string(separator) + secretEncoding.EncodeToString(secret[:])}
}

// Parse decodes a key. The result does not share memory with text. It returns
// ErrMalformed for any text that Generate could not have returned.
func Parse(text []byte) (Key, error) {
	if !wellFormed(text) {
		return Key{}, ErrMalformed
	}
	return Key{text: string(text)}, nil
}

// ID returns the public part, by which the key is looked up.
func (k Key) ID() string { return k.text[len(prefix):idEnd] }

// Digest returns the SHA-256 of the whole key.
func (k Key) Digest() Digest { return sha256.Sum256([]byte(k.text)) }

// Secret returns the secret part. Use it only to check that a text does not
// contain it, never for output.
func (k Key) Secret() string { return k.text[idEnd+1:] }

// Reveal returns the whole key. Use it only to give a new key to its customer.
func (k Key) Reveal() string { return k.text }

// IsZero reports whether the key is unset.
func (k Key) IsZero() bool { return k.text == "" }

// String returns the key without its secret.
func (k Key) String() string {
	if k.IsZero() {
		return ""
	}
	return k.text[:idEnd] + redactedSuffix
}

// GoString returns the key without its secret.
func (k Key) GoString() string { return k.String() }

// MarshalText returns the key without its secret. It never fails.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

func wellFormed(text []byte) bool {
	if len(text) != Length || string(text[:len(prefix)]) != prefix || text[idEnd] != separator {
		return false
	}
	for _, c := range text[len(prefix):idEnd] {
		if !isLowerHex(c) {
			return false
		}
	}
	// Decode skips line breaks, so the alphabet is checked first.
	for _, c := range text[idEnd+1:] {
		if !isBase64URL(c) {
			return false
		}
	}
	var secret [secretBytes]byte
	n, err := secretEncoding.Decode(secret[:], text[idEnd+1:])
	return err == nil && n == secretBytes
}

func isLowerHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f'
}

func isBase64URL(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_'
}

type malformedError struct{}

func (malformedError) Error() string { return "text is not a key" }

// ErrMalformed reports a text that is not a key. It never contains the text.
var ErrMalformed error = malformedError{}
