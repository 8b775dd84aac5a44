package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/operator"
)

// statusCommand prints the state of the mesh as known to one daemon.
type statusCommand struct {
	daemonFlags
	outputFlags
	streams streams
}

func addStatus(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("status", "show the hosts and their keys",
		"Shows the asked daemon and all hosts that it knows of.", &statusCommand{streams: s})
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
	fmt.Fprintf(out, "host\t%s\n", s.Host)
	fmt.Fprintf(out, "service\t%s\n", s.Service)
	fmt.Fprintf(out, "backend server\t%s, %s\n", s.Server, s.Instance)
	fmt.Fprintf(out, "epoch\t%d, authority for %d ms\n", s.Epoch, s.AuthorityMS)
	fmt.Fprintf(out, "keys\t%d, generation %d\n", s.Keys, s.Generation)
	fmt.Fprintf(out, "configuration\tversion %d\n", s.Config)
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(out, "evacuated\t%s\n", strings.Join(s.Evacuated, ", "))
	}
	fmt.Fprintf(out, "calls\t%d running, %d waiting, limit %d\n\n", s.Calls.Running, s.Calls.Waiting, s.Calls.Limit)
	fmt.Fprintln(out, "HOST\tSERVICE\tFAILURE DOMAIN\tUSABLE\tKEYS")
	for _, h := range s.Hosts {
		fmt.Fprintf(out, "%s\t%s\t%s\t%t\t%d\n", h.Host, h.Service, h.FailureDomain, h.IsUsable, h.Keys)
	}
	return out.Flush()
}
