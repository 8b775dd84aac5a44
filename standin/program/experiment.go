package program

import (
	"os"

	"github.com/skylarkrelay/skylarkrelay/experiment"
)

// experimentCommand compares the admission policies in virtual time, prints the results and optionally plots them.
type experimentCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed"`
	Plot    string `long:"plot" description:"file for a plot, as SVG"`
	streams streams
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	results := experiment.MeasureAll(c.Seed)
	if err := results.Print(c.streams.out); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return &FileError{Path: c.Plot, Cause: err}
	}
	if err := results.Plot(file); err != nil {
		return &FileError{Path: c.Plot, Cause: err}
	}
	return file.Close()
}
