// Package settings reads and validates a daemon's TOML settings file, and reports all problems in it at once.
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

// Problem is one error in a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// ProblemsError reports all problems of one or more files.
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

// document is a parsed file whose fields are looked up one by one. Fields that are never looked up are unknown.
type document struct {
	file     string
	values   map[string]any
	lines    map[string]int
	known    map[string]bool
	problems []Problem
}

// parse parses the text of a file. A file that is not valid TOML has a single problem.
func parse(file string, text []byte) *document {
	d := &document{file: file, values: map[string]any{}, lines: map[string]int{}, known: map[string]bool{}}
	if err := toml.Unmarshal(text, &d.values); err != nil {
		line := 1
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			line, _ = decode.Position()
		}
		d.problems = append(d.problems, Problem{File: file, Line: line, Field: "file", Reason: err.Error()})
		return d
	}
	d.recordLines(text)
	return d
}

// recordLines records the line of each field under its path, such as "table.field" or "table[0].field".
func (d *document) recordLines(text []byte) {
	parser := unstable.Parser{}
	parser.Reset(text)
	prefix := ""
	counts := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyPath(&parser, node)
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
			d.recordInlineFields(&parser, node.Value(), prefix+path)
		}
	}
}

// recordInlineFields records the lines of the fields of an inline table, and of those in its inline tables.
func (d *document) recordInlineFields(parser *unstable.Parser, value *unstable.Node, name string) {
	if value.Kind != unstable.InlineTable {
		return
	}
	for fields := value.Children(); fields.Next(); {
		path, line := keyPath(parser, fields.Node())
		d.lines[name+"."+path] = line
		d.recordInlineFields(parser, fields.Node().Value(), name+"."+path)
	}
}

// keyPath returns the dotted path and the line of an expression's key.
func keyPath(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 1
	for keys := node.Key(); keys.Next(); {
		parts = append(parts, string(keys.Node().Data))
		line = parser.Shape(keys.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

// addProblem adds a problem with a field. A missing field is reported at the line of its table.
func (d *document) addProblem(field, reason string) {
	line := d.lines[field]
	for name := field; line == 0 && strings.Contains(name, "."); {
		name = name[:strings.LastIndex(name, ".")]
		line = d.lines[name]
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: max(line, 1), Field: field, Reason: reason})
}

// lookup returns a field's value and marks the field as known.
func (d *document) lookup(field string) (any, bool) {
	d.known[field] = true
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

// field returns the value of a field, or fallback if the field is missing. It adds a problem for a missing field
// without a fallback, and for a value that does not have type T, which kind describes.
func field[T any](d *document, name, kind string, fallback *T) T {
	var zero T
	value, ok := d.lookup(name)
	if !ok && fallback != nil {
		return *fallback
	}
	if !ok {
		d.addProblem(name, "is missing")
		return zero
	}
	typed, ok := value.(T)
	if !ok {
		d.addProblem(name, "must be "+kind)
		return zero
	}
	return typed
}

// stringField reads a string that may not be empty.
func (d *document) stringField(name string, fallback *string) string {
	value := field(d, name, "a text", fallback)
	if given, ok := d.lookup(name); ok && given == "" {
		d.addProblem(name, "must not be empty")
	}
	return value
}

// boolean reads an optional truth value, which is false if it is missing.
func (d *document) boolean(name string) bool { return field(d, name, "true or false", new(bool)) }

// choice reads a string that is one of several choices.
func (d *document) choice(name, fallback string, choices ...string) string {
	value := field(d, name, "a text", &fallback)
	if !slices.Contains(choices, value) {
		d.addProblem(name, "must be one of "+strings.Join(choices, ", "))
	}
	return value
}

// integer reads an integer from lower to upper, inclusive.
func (d *document) integer(name string, fallback *int64, lower, upper int64) int64 {
	value := field(d, name, "a whole number", fallback)
	given, _ := d.lookup(name)
	if _, isInteger := given.(int64); isInteger && (value < lower || value > upper) {
		d.addProblem(name, fmt.Sprintf("must be from %d to %d", lower, upper))
	}
	return value
}

// float reads an integer or a floating-point number from lower to upper, inclusive.
func (d *document) float(name string, fallback, lower, upper float64) float64 {
	value, ok := d.lookup(name)
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
		d.addProblem(name, "must be a number")
		return 0
	}
	isWithin := number >= lower && number <= upper // false for NaN
	if !isWithin {
		d.addProblem(name, fmt.Sprintf("must be from %g to %g", lower, upper))
	}
	return number
}

// duration reads a duration from lower to upper, inclusive.
func (d *document) duration(name string, fallback *time.Duration, lower, upper time.Duration) time.Duration {
	value, ok := d.lookup(name)
	if !ok && fallback != nil {
		return *fallback
	}
	if !ok {
		d.addProblem(name, "is missing")
		return 0
	}
	text, ok := value.(string)
	if !ok {
		d.addProblem(name, "must be a text with a unit, such as \"250ms\"")
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addProblem(name, "must be a time with a unit, such as \"250ms\"")
		return 0
	}
	if parsed < lower || parsed > upper {
		d.addProblem(name, fmt.Sprintf("must be from %s to %s", lower, upper))
	}
	return parsed
}

// address reads an IP address with a port.
func (d *document) address(name string) string {
	value := field[string](d, name, "an address, such as \"10.0.0.7:7400\"", nil)
	if value == "" {
		if given, ok := d.lookup(name); ok && given == "" {
			d.addProblem(name, "must not be empty")
		}
		return ""
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		d.addProblem(name, "must be an IP number and a port, such as \"10.0.0.7:7400\"")
		return value
	}
	if portNumber, err := strconv.ParseUint(port, 10, 16); err != nil || portNumber == 0 {
		d.addProblem(name, "must have a port from 1 to 65535")
	}
	return value
}

// ip reads an IP address.
func (d *document) ip(name string, fallback *string) string {
	value := d.stringField(name, fallback)
	if value != "" && net.ParseIP(value) == nil {
		d.addProblem(name, "must be an IP number, such as \"10.0.0.7\"")
	}
	return value
}

// stringList reads an optional list of strings.
func (d *document) stringList(name string) []string {
	list := field(d, name, "a list of texts", &[]any{})
	values := make([]string, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			d.addProblem(name, "must be a list of texts")
			return nil
		}
		values = append(values, text)
	}
	return values
}

// result adds the unknown fields to the problems, and returns all problems in the order of their lines.
func (d *document) result() error {
	for name := range d.lines {
		if !d.known[name] && !d.isTable(name) {
			d.addProblem(name, "is not a known field")
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

// isTable reports whether a name is a table with at least one known field.
func (d *document) isTable(name string) bool {
	for known := range d.known {
		if strings.HasPrefix(known, name+".") {
			return true
		}
	}
	return false
}
