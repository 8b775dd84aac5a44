package cmd

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/skylarkrelay/skylarkrelay/settings"
)

// checkCommand validates settings files without starting a daemon.
type checkCommand struct {
	outputFlags
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

func addCheck(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("check", "check files without starting",
		"Reports everything that is wrong with settings files, with file, line and field.",
		&checkCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	found := &settings.ProblemsError{Problems: []settings.Problem{}}
	for _, file := range c.Args.Files {
		problems, err := c.check(file)
		if err != nil {
			return err
		}
		found.Problems = append(found.Problems, problems...)
	}
	if c.JSON {
		if err := printJSON(c.streams.out, found.Problems); err != nil {
			return err
		}
	}
	if len(found.Problems) > 0 {
		return found
	}
	if !c.JSON {
		fmt.Fprintf(c.streams.out, "%d files are good\n", len(c.Args.Files))
	}
	return nil
}

func (c *checkCommand) check(file string) ([]settings.Problem, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &settings.FileError{Path: file, Cause: err}
	}
	_, err = settings.Parse(file, text)
	var problems *settings.ProblemsError
	if errors.As(err, &problems) {
		return problems.Problems, nil
	}
	return nil, err
}
