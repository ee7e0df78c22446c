package keys

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against generated keys that can't be parsed, looked up or verified.
func TestGenerateParseVerify(t *testing.T) {
	key, other := Generate(), Generate()
	require.Len(t, key.Reveal(), Length)
	require.NotEqual(t, key, other)
	parsed, err := Parse([]byte(key.Reveal()))
	require.NoError(t, err)
	require.Equal(t, key, parsed)
	require.Len(t, key.ID(), IDLength)
	require.Len(t, key.Secret(), SecretLength)
	require.True(t, parsed.Digest().Matches(key.Digest().Hex()))
	require.False(t, other.Digest().Matches(key.Digest().Hex()))
	for _, stored := range []string{"", "00", key.Digest().Hex() + "00", strings.Repeat("z", 64)} {
		require.False(t, key.Digest().Matches(stored))
	}
}

// Guards against a key with more than one accepted encoding; only one is stored.
func TestParseRefuses(t *testing.T) {
	text := Generate().Reveal()
	for _, malformed := range []string{
		"", text[:Length-1], text + "A", "CK_" + text[3:], strings.ToUpper(text[:idEnd]) + text[idEnd:],
		text[:idEnd] + "-" + text[idEnd+1:], text[:Length-1] + "=", text[:Length-1] + "\n", text[:10] + " " + text[11:],
		// The last character of a secret has two unused bits.
		text[:idEnd+1] + strings.Repeat("A", SecretLength-1) + "B",
	} {
		_, err := Parse([]byte(malformed))
		require.ErrorIs(t, err, ErrMalformed, "%q", malformed)
	}
}

// Guards against a secret in a log line, an error or a document.
func TestFormattingHidesTheSecret(t *testing.T) {
	key := Generate()
	encoded, err := json.Marshal(map[string]any{"key": key})
	require.NoError(t, err)
	for _, text := range []string{
		fmt.Sprint(key), fmt.Sprintf("%v %+v %#v %s %q", key, key, key, key, key), string(encoded),
		Redact("a " + key.Reveal() + " b"), Redact(key.Reveal() + key.Reveal()), Redact("ck_" + key.Reveal()),
		Redact(key.Reveal()[:Length-5]), Redact("ck_0123 " + key.Reveal()),
	} {
		require.NotContains(t, text, key.Secret()[:10])
		require.Contains(t, text, key.ID())
	}
	require.Equal(t, "no key: ck_ ck_12", Redact("no key: ck_ ck_12"))
	require.True(t, Contains([]byte("ck_ck_x "+key.Reveal())))
	require.False(t, Contains([]byte("ck_"+key.ID()+"_"+strings.Repeat("!", SecretLength))))
}

// Guards against a parser that crashes on a caller's input or accepts two
// encodings of one key, and against a redaction that leaves a key.
func FuzzParse(f *testing.F) {
	f.Add("ck_0123456789abcdef_" + strings.Repeat("A", SecretLength))
	f.Add("ck_ck_0123456789abcdef_")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := Parse([]byte(text))
		if err == nil {
			require.Equal(t, text, key.Reveal())
			require.True(t, Contains([]byte("x"+text+"y")))
			require.NotContains(t, Redact(text), key.Secret())
		}
		redacted := Redact(text)
		require.False(t, Contains([]byte(redacted)))
		require.Equal(t, redacted, Redact(redacted))
	})
}
