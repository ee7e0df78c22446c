package keys

import (
	"bytes"
	"strings"
)

const redactedSuffix = "_***"

// Redact replaces the secret of everything in a text that looks like a key, even
// if the secret is truncated.
func Redact(text string) string {
	start := strings.Index(text, prefix)
	if start < 0 {
		return text
	}
	var out strings.Builder
	for start >= 0 {
		length := keyPatternLength(text[start:])
		if length == 0 {
			out.WriteString(text[:start+len(prefix)])
			text = text[start+len(prefix):]
		} else {
			out.WriteString(text[:start+idEnd])
			out.WriteString(redactedSuffix)
			text = text[start+length:]
		}
		start = strings.Index(text, prefix)
	}
	out.WriteString(text)
	return out.String()
}

// Contains reports whether a text contains a well-formed whole key.
func Contains(text []byte) bool {
	for {
		start := bytes.Index(text, []byte(prefix))
		if start < 0 || len(text)-start < Length {
			return false
		}
		if wellFormed(text[start : start+Length]) {
			return true
		}
		text = text[start+len(prefix):]
	}
}

// keyPatternLength returns the length of what looks like a key at the start of the
// text, or 0. A secret of any length counts, so that truncated keys are found too.
func keyPatternLength(text string) int {
	if len(text) <= idEnd+1 || text[idEnd] != separator {
		return 0
	}
	for i := len(prefix); i < idEnd; i++ {
		if !isLowerHex(text[i]) {
			return 0
		}
	}
	length := idEnd + 1
	for length < len(text) && length < Length && isBase64URL(text[length]) {
		length++
	}
	if length == idEnd+1 {
		return 0
	}
	return length
}
