package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// followInterval is the interval between requests for new events with --follow.
const followInterval = 300 * time.Millisecond

// timelineCommand prints the merged timelines of all daemons.
type timelineCommand struct {
	daemonFlags
	outputFlags
	Also    []string `long:"also" value-name:"ADDRESS" description:"operator address of a daemon that is no member any more; repeat it"`
	Follow  bool     `long:"follow" description:"go on printing until interrupted"`
	Key     string   `long:"key" description:"only events of this key"`
	Request string   `long:"request" description:"only events of this request"`
	Kind    string   `long:"kind" description:"only events of this kind, such as ownership or call"`
	streams streams
}

func addTimeline(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("timeline", "show what happened, over all daemons",
		"Merges the events of all members into one order. With --json it prints one event a line.",
		&timelineCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	ctx := context.Background()
	after := map[string]timeline.Timestamp{}
	for {
		if err := c.printNewEvents(ctx, after); err != nil {
			return err
		}
		if !c.Follow {
			return nil
		}
		<-time.After(followInterval)
	}
}

// printNewEvents prints the events since the previous call. It skips daemons whose events it cannot get, and
// prints the errors.
func (c *timelineCommand) printNewEvents(ctx context.Context, after map[string]timeline.Timestamp) error {
	addresses, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	for _, address := range addresses {
		events, err := operator.NewClient(address).Timeline(ctx, after[address])
		if err != nil {
			fmt.Fprintf(c.streams.err, "left out: %v\n", err)
			continue
		}
		if len(events) > 0 {
			after[address] = events[len(events)-1].At
		}
		lists = append(lists, events)
	}
	for _, e := range timeline.Merge(lists...) {
		if err := c.print(e); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns the operator addresses of the daemons on the command line, and of all members that the daemon given
// by --daemon knows.
func (c *timelineCommand) addresses(ctx context.Context) ([]string, error) {
	status, err := c.client().Status(ctx)
	if err != nil {
		return nil, err
	}
	addresses := append([]string{c.Daemon}, c.Also...)
	for _, h := range status.Hosts {
		addresses = append(addresses, h.Operator)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

func (c *timelineCommand) print(e timeline.Event) error {
	isExcluded := c.Key != "" && e.Key != c.Key ||
		c.Request != "" && e.Request != c.Request ||
		c.Kind != "" && e.Kind.String() != c.Kind
	if isExcluded {
		return nil
	}
	if c.JSON {
		data, err := json.Marshal(e)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.streams.out, string(data))
		return err
	}
	at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000")
	_, err := fmt.Fprintf(c.streams.out, "%s %-12s %-13s %-18s %s\n", at, e.Host, e.Kind, e.Name, eventDetail(e))
	return err
}

// eventDetail returns the detail of an event, preceded by the class, key and request of a call.
func eventDetail(e timeline.Event) string {
	text := e.Detail
	if e.Class != "" {
		text = fmt.Sprintf("%s key=%q request=%s %s", e.Class, e.Key, e.Request, e.Detail)
	}
	return text
}
