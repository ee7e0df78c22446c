package jsonc

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

const (
	// maxProblems bounds the problems that are kept for one text.
	maxProblems = 200
	// maxDepth bounds the nesting of a text, so that parsing can't exhaust the stack.
	maxDepth = 64
	// maxShownValue bounds the bytes of a value in a problem.
	maxShownValue     = 80
	secretPlaceholder = "(hidden)"
)

// The beginnings of Problem.Want for problems that do not concern a value.
const (
	wantSyntax  = "syntax: "
	wantKnown   = "is not a known field"
	wantOnce    = "is given twice"
	wantOmitted = "more problems"
)

// Class is the kind of a Problem.
type Class uint8

// The classes of problems.
const (
	// ClassValue is a value of the wrong type or form.
	ClassValue Class = iota
	ClassSyntax
	ClassUnknownField
	ClassDuplicateField
	// ClassOmitted counts the problems that were not kept.
	ClassOmitted
)

// Class returns the class of the problem.
func (p Problem) Class() Class {
	switch {
	case strings.HasPrefix(p.Want, wantSyntax):
		return ClassSyntax
	case strings.HasPrefix(p.Want, wantKnown):
		return ClassUnknownField
	case strings.HasPrefix(p.Want, wantOnce):
		return ClassDuplicateField
	case strings.HasSuffix(p.Want, wantOmitted):
		return ClassOmitted
	}
	return ClassValue
}

// Problem is one error in a text.
type Problem struct {
	// Line and Column are counted from 1; the column is in bytes.
	Line, Column int
	// Path names the field, such as added.routes[2].name; empty for the whole text.
	Path string
	// Value is the value as written, shortened; empty if the field is missing.
	Value string
	// Want describes the expected form.
	Want string
}

func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d, column %d: ", p.Line, p.Column)
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	if p.Value != "" {
		b.WriteString(p.Value + ": ")
	}
	b.WriteString(p.Want)
	return b.String()
}

// Join writes one problem per line.
func Join(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded text with the positions of its fields.
type Document struct {
	text []byte
	// nullable is true if null leaves a field as it is.
	nullable bool
	offsets  map[string]int
	values   map[string]string
	secrets  map[string]bool
	failed   map[string]bool
	problems []Problem
	omitted  int
	// lines are the offsets at which lines begin; nil until a position is needed.
	lines []int
}

// Has reports whether the text contains the field.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// Failed reports whether a problem was added for the field or a parent of it.
func (d *Document) Failed(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.failed[path] {
			return true
		}
	}
	return d.failed[""]
}

// Fail adds a problem for a field, with its value as written.
func (d *Document) Fail(path, want string) {
	d.add(d.offset(path), path, d.values[path], want)
}

// FailAt adds a problem at a byte of a string field, counted from 0. The
// position is exact only if no escape sequence precedes it.
func (d *Document) FailAt(path string, column int, want string) {
	d.add(d.offset(path)+len(`"`)+column, path, d.values[path], want)
}

// Problems returns all problems in the order of the text.
func (d *Document) Problems() []Problem {
	problems := append([]Problem(nil), d.problems...)
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Column < problems[j].Column
	})
	if d.omitted > 0 {
		problems = append(problems, Problem{Line: 1, Column: 1, Want: fmt.Sprintf("%d "+wantOmitted, d.omitted)})
	}
	return problems
}

// Position returns line and column of a field, or of the nearest parent that the
// text contains.
func (d *Document) Position(path string) (line, column int) {
	return d.position(d.offset(path))
}

func (d *Document) offset(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = parent(path)
	}
	return d.offsets[""]
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func (d *Document) position(offset int) (line, column int) {
	offset = min(offset, len(d.text))
	if d.lines == nil {
		d.lines = lineStarts(d.text)
	}
	line = sort.SearchInts(d.lines, offset+1)
	return line, offset - d.lines[line-1] + 1
}

// lineStarts returns the offsets at which lines begin. With it, the position of each of
// thousands of problems is found without counting all lines before it.
func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// customerKeyPattern matches a customer's key, which must not be printed.
var customerKeyPattern = regexp.MustCompile(`ck_[0-9A-Za-z_-]{8,}`)

func (d *Document) add(offset int, path, value, want string) {
	d.failed[path] = true
	d.appendProblem(offset, path, value, want)
}

// appendProblem adds a problem without marking the field as failed.
func (d *Document) appendProblem(offset int, path, value, want string) {
	if len(d.problems) >= maxProblems {
		d.omitted++
		return
	}
	if d.isSecret(path) || customerKeyPattern.MatchString(value) {
		value = secretPlaceholder
	}
	line, column := d.position(offset)
	d.problems = append(d.problems, Problem{
		Line: line, Column: column,
		Path:  customerKeyPattern.ReplaceAllString(path, secretPlaceholder),
		Value: shorten(value),
		Want:  customerKeyPattern.ReplaceAllString(want, secretPlaceholder),
	})
}

func (d *Document) isSecret(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.secrets[path] {
			return true
		}
	}
	return false
}

func shorten(value string) string {
	if len(value) <= maxShownValue {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownValue], "") + "..."
}

// Index returns the path of an element of a list.
func Index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// Field returns the path of a field of an object.
func Field(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
