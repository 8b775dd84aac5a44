package program

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// demoCommand runs a deployment.
type demoCommand struct {
	Relay  string        `long:"relay" default:"bin/skylarkrelay" description:"the daemon's program"`
	Load   time.Duration `long:"load" default:"3s" description:"how long to call"`
	Events int           `long:"events" default:"40" description:"how many events to print"`
	Args   struct {
		Plan string `positional-arg-name:"PLAN" description:"lorient or dakar"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

// PlanError reports an unknown deployment.
type PlanError struct{ Name string }

func (e *PlanError) Error() string { return "no plan " + e.Name + ": there are lorient and dakar" }

// BrokenError reports broken promises.
type BrokenError struct{ Promises []string }

func (e *BrokenError) Error() string { return "broken: " + strings.Join(e.Promises, "; ") }

const (
	// startTimeout bounds the wait until all keys are served.
	startTimeout = 20 * time.Second
	startPoll    = 200 * time.Millisecond
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	plans := map[string]func() deployment.Plan{"lorient": deployment.Lorient, "dakar": deployment.Dakar}
	plan, ok := plans[c.Args.Plan]
	if !ok {
		return &PlanError{Name: c.Args.Plan}
	}
	dir, err := os.MkdirTemp("", "skylarkrelay-demo-")
	if err != nil {
		return &ServeError{Address: "directory", Cause: err}
	}
	defer os.RemoveAll(dir)
	d, err := deployment.Start(plan(), c.Relay, dir)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return err
	}
	entry := d.Hosts[0]
	begun := time.Now()
	for failed := d.Unserved(entry); failed != ""; failed = d.Unserved(entry) {
		if time.Since(begun) > startTimeout {
			return &BrokenError{Promises: []string{failed}}
		}
		time.Sleep(startPoll)
	}
	fmt.Fprintf(c.streams.out, "%d daemons serve all keys after %s\n", len(d.Hosts), time.Since(begun).Round(time.Millisecond))
	load := d.StartLoad()
	time.Sleep(c.Load)
	for _, line := range deployment.Lines(load.Stop()) {
		fmt.Fprintln(c.streams.out, line)
	}
	if err := c.printTimeline(d); err != nil {
		return err
	}
	if broken := d.Ledger.Broken(); len(broken) > 0 {
		return &BrokenError{Promises: broken}
	}
	fmt.Fprintln(c.streams.out, "no promise was broken")
	return nil
}

// printTimeline prints the last events of all daemons in one order, without the calls.
func (c *demoCommand) printTimeline(d *deployment.Deployment) error {
	var lists [][]timeline.Event
	for _, h := range d.Hosts {
		events, err := operator.NewClient(h.Operator()).Timeline(context.Background(), timeline.Timestamp{})
		if err != nil {
			return err
		}
		lists = append(lists, events)
	}
	var shown []timeline.Event
	for _, e := range timeline.Merge(lists...) {
		if e.Kind != timeline.Call {
			shown = append(shown, e)
		}
	}
	for _, e := range shown[max(0, len(shown)-c.Events):] {
		at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000")
		fmt.Fprintf(c.streams.out, "%s %-28s %-13s %-16s %s\n", at, e.Host, e.Kind, e.Name, e.Detail)
	}
	return nil
}
