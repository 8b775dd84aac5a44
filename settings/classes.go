package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// ParseClasses checks the text of the operators' configuration and returns its classes.
func ParseClasses(file string, text []byte) ([]class.Class, error) {
	d := parse(file, text)
	if len(d.problems) > 0 {
		return nil, d.finish()
	}
	var classes []class.Class
	for i := range d.tables("class") {
		classes = append(classes, parseClass(d, fmt.Sprintf("class[%d].", i)))
	}
	if len(classes) == 0 {
		d.fail("class", "is missing: a configuration has at least one class")
	}
	checkClasses(d, classes)
	if err := d.finish(); err != nil {
		return nil, err
	}
	return classes, nil
}

func parseClass(d *document, at string) class.Class {
	c := class.Class{
		Name:       class.Name(d.text(at+"name", nil)),
		Service:    class.Service(d.text(at+"service", nil)),
		Method:     d.text(at+"method", nil),
		Path:       d.text(at+"path", nil),
		Rank:       class.Rank(d.count(at+"rank", nil, 1, 100)),
		Latency:    d.duration(at+"latency", nil, time.Millisecond, time.Hour),
		Success:    d.share(at + "success"),
		Idempotent: d.boolean(at+"idempotent", nil),
		Keyed:      d.boolean(at+"keyed", ptr(false)),
	}
	c.Timeout = d.duration(at+"timeout", ptr(4*c.Latency), time.Millisecond, time.Hour)
	if c.Timeout < c.Latency {
		d.fail(at+"timeout", "must not be below latency")
	}
	if c.Keyed != strings.Contains(c.Path, "{key}") {
		d.fail(at+"path", "must contain {key} if the class is keyed, and only then")
	}
	return c
}

// checkClasses finds classes that are right by themselves and wrong together.
func checkClasses(d *document, classes []class.Class) {
	seen := map[class.Name]bool{}
	for i, c := range classes {
		if seen[c.Name] && c.Name != "" {
			d.fail(fmt.Sprintf("class[%d].name", i), "is used twice")
		}
		seen[c.Name] = true
	}
	if len(d.problems) > 0 {
		return
	}
	for i := range classes {
		_, err := class.NewRouter(classes[:i+1])
		var pattern *class.PatternError
		if errors.As(err, &pattern) {
			d.fail(fmt.Sprintf("class[%d].path", i), pattern.Reason)
			return
		}
	}
}
