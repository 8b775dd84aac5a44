// Package cmd holds the commands of skylarkrelay, one a file.
package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed is for everything that no other code is for.
	ExitFailed = 1
	// ExitUsage is for a wrong command line.
	ExitUsage = 2
	// ExitInvalid is for files with problems.
	ExitInvalid = 3
	// ExitUnreachable is for a daemon that does not answer.
	ExitUnreachable = 5
)

// streams is where commands write.
type streams struct {
	out io.Writer
	err io.Writer
}

// connection is shared by the commands that ask a daemon.
type connection struct {
	Daemon string `long:"daemon" env:"SKYLARKRELAY_DAEMON" default:"127.0.0.1:7405" value-name:"ADDRESS" description:"operator address of any daemon"`
}

func (c connection) client() *operator.Client { return operator.NewClient(c.Daemon) }

// format is shared by the commands that print data.
type format struct {
	JSON bool `long:"json" description:"print JSON"`
}

// registrar adds one command to a parser.
type registrar func(parent *flags.Command, s streams) error

// commands is the visible list of all commands.
func commands() []registrar {
	return []registrar{
		addRun,
		addCheck,
		addStatus,
		addTimeline,
		addVersion,
	}
}

// Execute runs one command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	s := streams{out: out, err: errOut}
	parser := flags.NewNamedParser("skylarkrelay", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for servers that own keys exclusively"
	parser.LongDescription = "One small process beside each backend server, and the command line of its operators.\n" +
		"Exit codes: 0 done, 1 failed, 2 usage, 3 invalid file, 5 daemon unreachable."
	for _, add := range commands() {
		if err := add(parser.Command, s); err != nil {
			fmt.Fprintln(errOut, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, s)
}

// report prints an error and returns its exit code.
func report(err error, s streams) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(s.out, usage.Message)
		return ExitOK
	}
	fmt.Fprintln(s.err, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	var problems *settings.ProblemsError
	var unreachable *operator.UnreachableError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// printJSON writes a value for programs to read.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
