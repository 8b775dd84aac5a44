// Package program implements the commands of the standin program.
package program

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// streams holds the writers for the output and the error messages of commands.
type streams struct {
	out io.Writer
	err io.Writer
}

// FileError reports a file or directory that could not be created or written.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Execute runs the command line args and returns the exit code.
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
