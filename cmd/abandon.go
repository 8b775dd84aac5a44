package cmd

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// abandonCommand gives the operator's word that a member is gone.
type abandonCommand struct {
	connection
	Args struct {
		Member string `positional-arg-name:"MEMBER" description:"HOST#INCARNATION, as status shows it"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

func addAbandon(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("abandon", "declare a member gone for good",
		"For a member whose witnesses are lost too, so that the others cannot take over by themselves. "+
			"Be sure that its process has ended: if it still runs, its keys have two owners.", &abandonCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *abandonCommand) Execute([]string) error {
	if err := c.client().Abandon(context.Background(), c.Args.Member); err != nil {
		return err
	}
	fmt.Fprintln(c.streams.out, "abandoned", c.Args.Member)
	return nil
}
