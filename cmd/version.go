package cmd

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Version is the version of the program.
const Version = "0.1.0"

// versionCommand prints the versions of the program and of its stored formats.
type versionCommand struct {
	outputFlags
	streams streams
}

func addVersion(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("version", "print the version",
		"Prints the version of the program and of its stored formats.", &versionCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	if c.JSON {
		return printJSON(c.streams.out, map[string]any{"version": Version, "record_format": ownership.RecordFormat})
	}
	fmt.Fprintf(c.streams.out, "skylarkrelay %s, record format %d\n", Version, ownership.RecordFormat)
	return nil
}
