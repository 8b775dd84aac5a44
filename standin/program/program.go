// Package program holds the commands of the stand-in, one a file.
package program

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// streams is where commands write.
type streams struct {
	out io.Writer
	err io.Writer
}

// ServeError reports a file that cannot be written.
type ServeError struct {
	Address string
	Cause   error
}

func (e *ServeError) Error() string { return e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Execute runs one command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	s := streams{out: out, err: errOut}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"demo", "run a deployment on loopback under load, and print what happened", &demoCommand{streams: s}},
		{"slopes", "measure what daemons use for control, by the size of the mesh", &slopesCommand{streams: s}},
		{"experiment", "measure the admission policies in virtual time", &experimentCommand{streams: s}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(errOut, err)
			return 1
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return 0
	default:
		fmt.Fprintln(errOut, err)
		return 1
	}
}
