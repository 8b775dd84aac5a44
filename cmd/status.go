package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/operator"
)

// statusCommand prints the state of the mesh as one daemon knows it.
type statusCommand struct {
	connection
	format
	streams streams
}

func addStatus(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("status", "show the members and their slots",
		"Shows the asked daemon and all members that it knows of.", &statusCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.streams.out, status)
	}
	return c.print(status)
}

func (c *statusCommand) print(s operator.Status) error {
	out := tabwriter.NewWriter(c.streams.out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(out, "member\t%s\n", s.Member)
	fmt.Fprintf(out, "service\t%s\n", s.Service)
	fmt.Fprintf(out, "ready\t%t\n", s.IsReady)
	fmt.Fprintf(out, "generation\t%d\n", s.Generation)
	fmt.Fprintf(out, "lease\t%d ms\n", s.LeaseMS)
	fmt.Fprintf(out, "witnesses\t%v\n", s.Witnesses)
	fmt.Fprintf(out, "configuration\trevision %d\n", s.Config)
	fmt.Fprintf(out, "calls\t%d running, %d waiting, limit %d\n\n", s.Calls.Running, s.Calls.Waiting, s.Calls.Limit)
	fmt.Fprintln(out, "MEMBER\tSERVICE\tFAILURE DOMAIN\tSTATE\tSLOTS")
	for _, m := range s.Members {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\n", m.Member, m.Service, m.FailureDomain, m.State, m.Slots)
	}
	return out.Flush()
}
