package keys

import (
	"bytes"
	"strings"
)

const redactedSuffix = "_***"

// Redact replaces the secret of everything in a text that has the shape of a
// key. A text that is cut off inside a key loses the rest of the key too.
func Redact(text string) string {
	at := strings.Index(text, prefix)
	if at < 0 {
		return text
	}
	var out strings.Builder
	for at >= 0 {
		end := shapeEnd(text[at:])
		if end == 0 {
			out.WriteString(text[:at+len(prefix)])
			text = text[at+len(prefix):]
		} else {
			out.WriteString(text[:at+idEnd])
			out.WriteString(redactedSuffix)
			text = text[at+end:]
		}
		at = strings.Index(text, prefix)
	}
	out.WriteString(text)
	return out.String()
}

// Contains reports whether a text holds something with the shape of a whole key.
func Contains(text []byte) bool {
	for {
		at := bytes.Index(text, []byte(prefix))
		if at < 0 || len(text)-at < Length {
			return false
		}
		if wellFormed(text[at : at+Length]) {
			return true
		}
		text = text[at+len(prefix):]
	}
}

// shapeEnd returns the length of the key shape at the start of the text, or 0.
// Any number of secret characters counts, so that a truncated key is found too.
func shapeEnd(text string) int {
	if len(text) <= idEnd+1 || text[idEnd] != separator {
		return 0
	}
	for i := len(prefix); i < idEnd; i++ {
		if !isLowerHex(text[i]) {
			return 0
		}
	}
	end := idEnd + 1
	for end < len(text) && end < Length && isBase64URL(text[end]) {
		end++
	}
	if end == idEnd+1 {
		return 0
	}
	return end
}
