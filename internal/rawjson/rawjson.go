// Package rawjson splits JSON texts into their parts without looking into these.
//
// encoding/json rejects a whole text because of one value in it that is nested too
// deeply. With this package, a reader can leave out such a value and use the others.
package rawjson

import (
	"bytes"
	"encoding/json"
	"strings"
)

// SyntaxError reports a text that is not a JSON array or object.
type SyntaxError struct{}

func (*SyntaxError) Error() string { return "the text is not a JSON array or object" }

// Split returns the elements of an array, or the members of an object, as they are. It
// returns a *SyntaxError for any other text.
func Split(text []byte) ([]json.RawMessage, error) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || !(text[0] == '[' && text[len(text)-1] == ']' || text[0] == '{' && text[len(text)-1] == '}') {
		return nil, &SyntaxError{}
	}
	var parts []json.RawMessage
	depth, start, inString := 0, 1, false
	for i := 1; i < len(text)-1; i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			parts = append(parts, json.RawMessage(text[start:i]))
			start = i + 1
		}
	}
	if last := bytes.TrimSpace(text[start : len(text)-1]); len(last) > 0 {
		parts = append(parts, json.RawMessage(last))
	}
	if depth != 0 || inString {
		return nil, &SyntaxError{}
	}
	return parts, nil
}

// List is Split for a list that may be missing or null.
func List(raw json.RawMessage) ([]json.RawMessage, error) {
	if text := bytes.TrimSpace(raw); len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	return Split(raw)
}

// Object holds the members of an object by their names in lower case, because
// encoding/json ignores case too.
type Object map[string]json.RawMessage

// ParseObject returns the members of an object. Names with escaped quotes are not
// supported. It returns a *SyntaxError for any other text.
func ParseObject(text []byte) (Object, error) {
	members, err := Split(text)
	if err != nil {
		return nil, err
	}
	object := make(Object, len(members))
	for _, m := range members {
		m = bytes.TrimSpace(m)
		end := bytes.IndexByte(m[min(1, len(m)):], '"') + 1
		colon := bytes.IndexByte(m[max(0, end):], ':')
		if len(m) < 2 || m[0] != '"' || end < 1 || colon < 0 {
			return nil, &SyntaxError{}
		}
		object[strings.ToLower(string(m[1:end]))] = m[end+colon+1:]
	}
	return object, nil
}

// Decode decodes a member, by its name in lower case. A missing one leaves into as it is.
func (o Object) Decode(name string, into any) error {
	if raw := o[name]; len(raw) > 0 {
		return json.Unmarshal(raw, into)
	}
	return nil
}
