// Package settings reads the TOML files of a process and of the operators, and reports everything that is wrong
// with them at once.
package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one thing wrong with a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// ProblemsError reports everything that is wrong with a file.
type ProblemsError struct {
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// document is a parsed file whose fields are taken out one by one. What nobody takes is unknown.
type document struct {
	file     string
	values   map[string]any
	lines    map[string]int
	taken    map[string]bool
	problems []Problem
}

// parse reads a file's text. A file that is not TOML has one problem.
func parse(file string, text []byte) *document {
	d := &document{file: file, values: map[string]any{}, lines: map[string]int{}, taken: map[string]bool{}}
	if err := toml.Unmarshal(text, &d.values); err != nil {
		line := 1
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			line, _ = decode.Position()
		}
		d.problems = append(d.problems, Problem{File: file, Line: line, Field: "file", Reason: err.Error()})
		return d
	}
	d.locate(text)
	return d
}

// locate notes the line of each field, as "table.field" or "table[0].field".
func (d *document) locate(text []byte) {
	parser := unstable.Parser{}
	parser.Reset(text)
	prefix := ""
	counts := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := pathOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = path + "."
			d.lines[path] = line
		case unstable.ArrayTable:
			name := fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			prefix = name + "."
			d.lines[name] = line
		case unstable.KeyValue:
			d.lines[prefix+path] = line
		}
	}
}

func pathOf(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 1
	for keys := node.Key(); keys.Next(); {
		parts = append(parts, string(keys.Node().Data))
		line = parser.Shape(keys.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

// fail adds a problem with a field. A missing field is placed at its table.
func (d *document) fail(field, reason string) {
	line := d.lines[field]
	for name := field; line == 0 && strings.Contains(name, "."); {
		name = name[:strings.LastIndex(name, ".")]
		line = d.lines[name]
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: max(line, 1), Field: field, Reason: reason})
}

// take returns a field's value.
func (d *document) take(field string) (any, bool) {
	d.taken[field] = true
	var value any = d.values
	for _, part := range strings.Split(field, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		if value, ok = table[part]; !ok {
			return nil, false
		}
	}
	return value, true
}

// field returns a field as a type, or its default. A missing field without a default is a problem.
func field[T any](d *document, name, kind string, fallback *T) T {
	var zero T
	value, ok := d.take(name)
	if !ok && fallback != nil {
		return *fallback
	}
	if !ok {
		d.fail(name, "is missing")
		return zero
	}
	typed, ok := value.(T)
	if !ok {
		d.fail(name, "must be "+kind)
		return zero
	}
	return typed
}

func (d *document) text(name string, fallback *string) string {
	value := field(d, name, "a text", fallback)
	if given, ok := d.take(name); ok && given == "" {
		d.fail(name, "must not be empty")
	}
	return value
}

func (d *document) oneOf(name, fallback string, choices ...string) string {
	value := field(d, name, "a text", &fallback)
	if !slices.Contains(choices, value) {
		d.fail(name, "must be one of "+strings.Join(choices, ", "))
	}
	return value
}

func (d *document) count(name string, fallback *int64, least, most int64) int64 {
	value := field(d, name, "a whole number", fallback)
	if d.lines[name] > 0 && (value < least || value > most) {
		d.fail(name, fmt.Sprintf("must be from %d to %d", least, most))
	}
	return value
}

// number reads a number within bounds.
func (d *document) number(name string, fallback, least, most float64) float64 {
	value, ok := d.take(name)
	if !ok {
		return fallback
	}
	number := 0.0
	switch typed := value.(type) {
	case float64:
		number = typed
	case int64:
		number = float64(typed)
	default:
		d.fail(name, "must be a number")
		return 0
	}
	if number < least || number > most {
		d.fail(name, fmt.Sprintf("must be from %g to %g", least, most))
	}
	return number
}

func (d *document) duration(name string, fallback *time.Duration, least, most time.Duration) time.Duration {
	value, ok := d.take(name)
	if !ok && fallback != nil {
		return *fallback
	}
	if !ok {
		d.fail(name, "is missing")
		return 0
	}
	text, ok := value.(string)
	if !ok {
		d.fail(name, "must be a text with a unit, such as \"250ms\"")
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.fail(name, "must be a time with a unit, such as \"250ms\"")
		return 0
	}
	if parsed < least || parsed > most {
		d.fail(name, fmt.Sprintf("must be from %s to %s", least, most))
	}
	return parsed
}

// address reads an IP number and port.
func (d *document) address(name string) string {
	value := field[string](d, name, "an address, such as \"10.0.0.7:7400\"", nil)
	if value == "" {
		if given, ok := d.take(name); ok && given == "" {
			d.fail(name, "must not be empty")
		}
		return ""
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		d.fail(name, "must be an IP number and a port, such as \"10.0.0.7:7400\"")
		return value
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		d.fail(name, "must have a port from 1 to 65535")
	}
	return value
}

// ip reads an IP number.
func (d *document) ip(name string, fallback *string) string {
	value := d.text(name, fallback)
	if value != "" && net.ParseIP(value) == nil {
		d.fail(name, "must be an IP number, such as \"10.0.0.7\"")
	}
	return value
}

// texts reads a list of texts, which may be left out.
func (d *document) texts(name string) []string {
	list := field(d, name, "a list of texts", &[]any{})
	texts := make([]string, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			d.fail(name, "must be a list of texts")
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}

// finish adds the unknown fields and returns all problems in the order of the file.
func (d *document) finish() error {
	for name := range d.lines {
		if !d.taken[name] && !d.isTable(name) {
			d.fail(name, "is not a known field")
		}
	}
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Field, b.Field)
	})
	return &ProblemsError{Problems: d.problems}
}

// isTable tells whether a name is a table with at least one known field.
func (d *document) isTable(name string) bool {
	for taken := range d.taken {
		if strings.HasPrefix(taken, name+".") {
			return true
		}
	}
	return false
}
