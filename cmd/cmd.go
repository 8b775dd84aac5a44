// Package cmd implements the command line of skylarkrelay, with one file per command.
package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// Exit codes.
const (
	// ExitOK is the exit code of success.
	ExitOK = 0
	// ExitFailed is the exit code of all failures that have no other code.
	ExitFailed = 1
	// ExitUsage is the exit code of an invalid command line.
	ExitUsage = 2
	// ExitInvalid is the exit code of an invalid settings file.
	ExitInvalid = 3
	// ExitUnreachable is the exit code if a daemon does not send a complete, valid response.
	ExitUnreachable = 5
)

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// daemonFlags are the flags of the commands that send requests to a daemon.
type daemonFlags struct {
	Daemon string `long:"daemon" env:"SKYLARKRELAY_DAEMON" default:"127.0.0.1:7405" value-name:"ADDRESS" description:"operator address of any daemon"`
}

func (f daemonFlags) client() *operator.Client { return operator.NewClient(f.Daemon) }

// outputFlags are the flags of the commands that print data.
type outputFlags struct {
	JSON bool `long:"json" description:"print JSON"`
}

// registrar adds one command to a parser.
type registrar func(parent *flags.Command, s streams) error

// commands returns the registrars of all commands.
func commands() []registrar {
	return []registrar{
		addRun,
		addCheck,
		addStatus,
		addExplain,
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
	return reportError(err, s)
}

// reportError prints an error, or the help text if that was requested, and returns the exit code.
func reportError(err error, s streams) int {
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
	var unexplained *ExplainError
	var verdict *VerdictError
	switch {
	case errors.As(err, &unexplained):
		return ExitFailed
	case errors.As(err, &verdict) && verdict.Verdict == caller.Rejected:
		return ExitRejected
	case errors.As(err, &verdict):
		return ExitNoRoute
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

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
