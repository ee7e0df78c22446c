package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Decode decodes a text into the struct that into points to. Fields that the text
// does not contain keep their values. The value of a struct field with the tag
// secret:"true" never appears in a problem. Supported are structs, slices, maps
// with string keys, strings, booleans, integers, floats, time.Duration written as a
// string such as "10s", types with UnmarshalText, json.RawMessage, and pointers to these,
// which null leaves as they are.
func Decode(text []byte, into any) *Document {
	return decodeDocument(text, into, false)
}

// DecodeNullable is Decode for texts that encoding/json reads, too: null leaves a field
// as it is.
func DecodeNullable(text []byte, into any) *Document {
	return decodeDocument(text, into, true)
}

func decodeDocument(text []byte, into any, nullable bool) *Document {
	d := &Document{
		nullable: nullable,
		text:     text,
		offsets:  map[string]int{"": 0},
		values:   map[string]string{},
		secrets:  map[string]bool{},
		failed:   map[string]bool{},
	}
	if offset, ok := notUTF8(text); ok {
		d.add(offset, "", "", "must be UTF-8")
		return d
	}
	if offset, ok := tooDeep(text); ok {
		d.add(offset, "", "", fmt.Sprintf("must not be nested deeper than %d levels", maxDepth))
		return d
	}
	value, err := hujson.Parse(append([]byte(nil), text...))
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decode("", value, reflect.ValueOf(into).Elem())
	return d
}

// addSyntaxError parses the position from the message of a hujson error, which
// carries it in no other form.
func (d *Document) addSyntaxError(err error) {
	d.failed[""] = true
	var line, column int
	message := err.Error()
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		message = strings.SplitN(message, ": ", 3)[2]
	}
	d.problems = append(d.problems, Problem{Line: max(1, line), Column: max(1, column), Want: wantSyntax + message})
}

// notUTF8 returns the offset of the first byte that is not part of UTF-8 text.
func notUTF8(text []byte) (int, bool) {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i, true
		}
		i += size
	}
	return 0, false
}

// tooDeep returns the offset at which the nesting exceeds maxDepth.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			i = skipString(text, i)
		case c == '/' && i+1 < len(text) && text[i+1] == '/':
			i = skipTo(text, i, "\n")
		case c == '/' && i+1 < len(text) && text[i+1] == '*':
			i = skipTo(text, i+2, "*/")
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}

func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

func skipTo(text []byte, i int, end string) int {
	n := bytes.Index(text[min(i, len(text)):], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + n + len(end) - 1
}

var (
	rawMessageType      = reflect.TypeFor[json.RawMessage]()
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *Document) decode(path string, v hujson.Value, into reflect.Value) {
	d.offsets[path] = v.StartOffset
	literal, isLiteral := v.Value.(hujson.Literal)
	if isLiteral {
		d.values[path] = string(literal)
	}
	switch {
	case d.nullable && v.Value.Kind() == 'n':
	case into.Type() == durationType:
		d.decodeDuration(path, v, into)
	case reflect.PointerTo(into.Type()).Implements(textUnmarshalerType):
		d.decodeText(path, v, into)
	case into.Type() == rawMessageType:
		plain := v.Clone()
		plain.Standardize()
		into.SetBytes(bytes.TrimSpace(plain.Pack()))
	case into.Kind() == reflect.Pointer:
		d.decodePointer(path, v, into)
	default:
		d.decodeKind(path, v, into)
	}
}

// decodePointer decodes a value that may be null.
func (d *Document) decodePointer(path string, v hujson.Value, into reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	value := reflect.New(into.Type().Elem())
	d.decode(path, v, value.Elem())
	into.Set(value)
}

func (d *Document) decodeKind(path string, v hujson.Value, into reflect.Value) {
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, v, into)
	case reflect.Map:
		d.decodeMap(path, v, into)
	case reflect.Slice:
		d.decodeSlice(path, v, into)
	case reflect.String:
		if text, ok := d.expectString(path, v, "must be a string"); ok {
			into.SetString(text)
		}
	case reflect.Bool:
		if kind := v.Value.Kind(); kind != 't' && kind != 'f' {
			d.Fail(path, "must be true or false")
			return
		}
		into.SetBool(v.Value.Kind() == 't')
	case reflect.Int, reflect.Int64:
		d.decodeInt(path, v, into)
	case reflect.Float64:
		d.decodeFloat(path, v, into)
	default:
		d.Fail(path, "has a type that cannot be read: "+into.Type().String())
	}
}

func (d *Document) expectString(path string, v hujson.Value, want string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.Fail(path, want)
		return "", false
	}
	return literal.String(), true
}

func (d *Document) decodeDuration(path string, v hujson.Value, into reflect.Value) {
	const want = `must be a duration in quotes such as "250ms" or "10s"`
	text, ok := d.expectString(path, v, want)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.Fail(path, want)
		return
	}
	into.SetInt(int64(duration))
}

func (d *Document) decodeText(path string, v hujson.Value, into reflect.Value) {
	text, ok := d.expectString(path, v, "must be a string")
	if !ok {
		return
	}
	if err := into.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.Fail(path, textErrorMessage(into.Type(), err))
	}
}

func textErrorMessage(t reflect.Type, err error) string {
	switch t.Name() {
	case "AddrPort":
		return `must be an IP address and a port such as "127.0.0.1:7000" or "[::1]:7000"`
	case "Prefix":
		return `must be a block of addresses such as "192.0.2.0/24"`
	case "Addr":
		return `must be an IP address`
	}
	return err.Error()
}

func (d *Document) decodeInt(path string, v hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.Fail(path, "must be a whole number")
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, into.Type().Bits())
	if err != nil {
		d.Fail(path, "must be a whole number")
		return
	}
	into.SetInt(n)
}

func (d *Document) decodeFloat(path string, v hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.Fail(path, "must be a number")
		return
	}
	f, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		d.Fail(path, "must be a number in the range of a 64-bit float")
		return
	}
	into.SetFloat(f)
}

func (d *Document) decodeSlice(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Fail(path, "must be a list [ ... ]")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(Index(path, i), element, into.Index(i))
	}
}

func (d *Document) decodeMap(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Fail(path, "must be an object { ... }")
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(object.Members)))
	for name, member := range d.members(path, object) {
		value := reflect.New(into.Type().Elem()).Elem()
		d.decode(Field(path, name), member.Value, value)
		into.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), value)
	}
}

// members iterates over the members of an object and reports repeated names.
func (d *Document) members(path string, object *hujson.Object) func(func(string, hujson.ObjectMember) bool) {
	return func(yield func(string, hujson.ObjectMember) bool) {
		seen := map[string]bool{}
		for _, member := range object.Members {
			name := member.Name.Value.(hujson.Literal).String()
			if seen[name] {
				d.appendProblem(member.Name.StartOffset, Field(path, name), "", wantOnce+"; leave one of them out")
				continue
			}
			seen[name] = true
			if !yield(name, member) {
				return
			}
		}
	}
}

func (d *Document) decodeStruct(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Fail(path, "must be an object { ... }")
		return
	}
	known := structTypeOf(into.Type())
	for name, member := range d.members(path, object) {
		field, ok := known.fields[name]
		if !ok {
			d.add(member.Name.StartOffset, Field(path, name), "", wantKnown+"; known are "+strings.Join(known.names, ", "))
			continue
		}
		if field.secret {
			d.secrets[Field(path, name)] = true
		}
		d.decode(Field(path, name), member.Value, into.Field(field.index))
	}
}

// structField is a field of a struct type.
type structField struct {
	index  int
	secret bool
}

// structType holds the fields of a struct type by their names in a text.
type structType struct {
	names  []string
	fields map[string]structField
}

// structTypes holds the *structType of each reflect.Type. A list has thousands of
// elements of one type.
var structTypes sync.Map

func structTypeOf(t reflect.Type) *structType {
	if known, ok := structTypes.Load(t); ok {
		return known.(*structType)
	}
	s := &structType{fields: map[string]structField{}}
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		s.names = append(s.names, name)
		s.fields[name] = structField{index: i, secret: tag.Get("secret") == "true"}
	}
	structTypes.Store(t, s)
	return s
}
