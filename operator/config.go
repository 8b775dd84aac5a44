// Package operator serves operators: the configuration, the state of the daemons and the time line.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

const (
	// ConfigKey is where the platform keeps the configuration.
	ConfigKey = "config"
	// configFormat is the newest format that this program reads.
	configFormat = 1
	// historyLength is how many earlier configurations are kept.
	historyLength = 20
	// readBackAttempts is how often a lost answer is settled by reading before the operator is told that it is open.
	readBackAttempts = 20
	// readBackPause is the wait between these reads.
	readBackPause = 100 * time.Millisecond
)

// Change is one accepted configuration.
type Change struct {
	Revision class.Revision `json:"revision"`
	Author   string         `json:"author"`
	At       time.Time      `json:"at"`
	// Nonce identifies the change, so that an operator whose answer was lost finds out.
	Nonce string `json:"nonce"`
	Text  string `json:"text"`
}

// ConfigValue is the configuration as the platform keeps it: the newest change first.
type ConfigValue struct {
	Format  int      `json:"format"`
	Changes []Change `json:"changes"`
}

// Current returns the change in force; its revision is zero before the first.
func (v ConfigValue) Current() Change {
	if len(v.Changes) == 0 {
		return Change{}
	}
	return v.Changes[0]
}

// ConfigFormatError reports a stored configuration that this program cannot read.
type ConfigFormatError struct{ Reason string }

func (e *ConfigFormatError) Error() string { return "stored configuration: " + e.Reason }

// DecodeConfig reads the stored configuration.
func DecodeConfig(data []byte) (ConfigValue, error) {
	var v ConfigValue
	if len(data) == 0 {
		return v, nil
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return v, &ConfigFormatError{Reason: "damaged: " + err.Error()}
	}
	if v.Format > configFormat {
		return v, &ConfigFormatError{Reason: fmt.Sprintf("format %d is newer than %d", v.Format, configFormat)}
	}
	return v, nil
}

// Classes returns the classes of a change.
func (c Change) Classes() (class.Set, error) {
	if c.Revision == 0 {
		return class.Set{}, nil
	}
	classes, err := settings.ParseClasses(fmt.Sprintf("revision-%d", c.Revision), []byte(c.Text))
	return class.Set{Revision: c.Revision, Classes: classes}, err
}

// ConflictError tells the loser of a race about the other operator's change. Nothing was written.
type ConflictError struct {
	Based class.Revision
	Other Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at revision %d, by %s, not at %d: read it and apply your change to it",
		e.Other.Revision, e.Other.Author, e.Based)
}

// OpenError says that it could not be found out whether a change was accepted.
type OpenError struct{ Cause error }

func (e *OpenError) Error() string {
	return "it is not known whether the change was accepted: run config get before you try again: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// Editor changes the configuration in the platform's store.
type Editor struct {
	store platform.Store
	clock clockwork.Clock
}

// NewEditor returns an editor on a store.
func NewEditor(store platform.Store, clock clockwork.Clock) *Editor {
	return &Editor{store: store, clock: clock}
}

// Accepted is an accepted change, and the stored value that holds it.
type Accepted struct {
	Change Change
	Entry  platform.Entry
}

// Apply checks a text whole and writes it, if the configuration is still at the revision that the operator read.
func (e *Editor) Apply(ctx context.Context, based class.Revision, author, text string) (Accepted, error) {
	if _, err := settings.ParseClasses("configuration", []byte(text)); err != nil {
		return Accepted{}, err
	}
	entry, value, err := e.read(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if current := value.Current(); current.Revision != based {
		return Accepted{}, &ConflictError{Based: based, Other: current}
	}
	change := Change{
		Revision: based + 1,
		Author:   author,
		At:       e.clock.Now().UTC(),
		Nonce:    rand.Text(),
		Text:     text,
	}
	value.Format = configFormat
	value.Changes = append([]Change{change}, value.Changes...)
	data := encodeBounded(&value)
	revision, err := e.store.Swap(ctx, ConfigKey, entry.Revision, data)
	if err == nil {
		return Accepted{Change: change, Entry: platform.Entry{Key: ConfigKey, Data: data, Revision: revision}}, nil
	}
	return e.settle(ctx, entry.Revision, change, data, err)
}

// encodeBounded drops the oldest changes until the value fits the platform.
func encodeBounded(v *ConfigValue) []byte {
	v.Changes = v.Changes[:min(len(v.Changes), historyLength)]
	for {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // a ConfigValue holds nothing that JSON refuses
		}
		if len(data) <= platform.MaxValue || len(v.Changes) == 1 {
			return data
		}
		v.Changes = v.Changes[:len(v.Changes)-1]
	}
}

// settle finds out what became of a write that did not simply succeed. Sending it again is safe: only one copy
// can find the expected revision.
func (e *Editor) settle(ctx context.Context, base platform.Revision, change Change, data []byte, cause error) (Accepted, error) {
	for range readBackAttempts {
		var conflict *platform.ConflictError
		isOpen := platform.IsLost(cause) || errors.As(cause, &conflict)
		if !isOpen {
			return Accepted{}, cause
		}
		entry, value, err := e.read(ctx)
		switch {
		case err != nil:
			cause = &platform.LostError{Cause: err}
		case entry.Revision > base && hasNonce(value, change.Nonce):
			return Accepted{Change: change, Entry: entry}, nil
		case entry.Revision > base:
			return Accepted{}, &ConflictError{Based: change.Revision - 1, Other: value.Current()}
		default:
			var revision platform.Revision
			revision, cause = e.store.Swap(ctx, ConfigKey, base, data)
			if cause == nil {
				return Accepted{Change: change, Entry: platform.Entry{Key: ConfigKey, Data: data, Revision: revision}}, nil
			}
		}
		select {
		case <-e.clock.After(readBackPause):
		case <-ctx.Done():
			return Accepted{}, &OpenError{Cause: ctx.Err()}
		}
	}
	return Accepted{}, &OpenError{Cause: cause}
}

func hasNonce(v ConfigValue, nonce string) bool {
	for _, c := range v.Changes {
		if c.Nonce == nonce {
			return true
		}
	}
	return false
}

func (e *Editor) read(ctx context.Context) (platform.Entry, ConfigValue, error) {
	entry, err := e.store.Get(ctx, ConfigKey)
	if err != nil {
		return entry, ConfigValue{}, err
	}
	value, err := DecodeConfig(entry.Data)
	return entry, value, err
}

// History returns the accepted changes, the newest first.
func (e *Editor) History(ctx context.Context) ([]Change, error) {
	_, value, err := e.read(ctx)
	return value.Changes, err
}

// Diff returns the lines that a change adds and takes away, for people to read.
func Diff(old, text string) string {
	var out strings.Builder
	before := strings.Split(old, "\n")
	after := strings.Split(text, "\n")
	for _, line := range missing(before, after) {
		out.WriteString("- " + line + "\n")
	}
	for _, line := range missing(after, before) {
		out.WriteString("+ " + line + "\n")
	}
	return out.String()
}

// missing returns the lines of a that b has fewer of.
func missing(a, b []string) []string {
	counts := map[string]int{}
	for _, line := range b {
		counts[line]++
	}
	var lines []string
	for _, line := range a {
		if counts[line] == 0 {
			lines = append(lines, line)
			continue
		}
		counts[line]--
	}
	return lines
}
