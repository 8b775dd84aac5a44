package cmd

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// drainCommand makes a daemon give its slots away.
type drainCommand struct {
	connection
	streams streams
}

func addDrain(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("drain", "give a daemon's keys to the others",
		"Asks the daemon to give its slots away and leave its cell. It goes on forwarding calls.", &drainCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	if err := c.client().Drain(context.Background()); err != nil {
		return err
	}
	fmt.Fprintln(c.streams.out, "draining")
	return nil
}
