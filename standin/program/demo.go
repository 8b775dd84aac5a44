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

// demoCommand runs a deployment under load and prints the tallies of calls and the latest events.
type demoCommand struct {
	Relay  string        `long:"relay" default:"bin/skylarkrelay" description:"the daemon's program"`
	Load   time.Duration `long:"load" default:"3s" description:"how long to call"`
	Events int           `long:"events" default:"40" description:"how many events to print"`
	Args   struct {
		Plan string `positional-arg-name:"PLAN" description:"lorient or dakar"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

// UnknownPlanError reports a plan name that is not known.
type UnknownPlanError struct{ Name string }

func (e *UnknownPlanError) Error() string {
	return "no plan " + e.Name + ": there are lorient and dakar"
}

// InvariantError reports violated invariants.
type InvariantError struct{ Violations []string }

func (e *InvariantError) Error() string { return "broken: " + strings.Join(e.Violations, "; ") }

const (
	// startTimeout bounds the wait until calls to all probed keys are answered.
	startTimeout = 20 * time.Second
	startPoll    = 200 * time.Millisecond
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	plans := map[string]func() deployment.Plan{"lorient": deployment.Lorient, "dakar": deployment.Dakar}
	plan, ok := plans[c.Args.Plan]
	if !ok {
		return &UnknownPlanError{Name: c.Args.Plan}
	}
	dir, err := os.MkdirTemp("", "skylarkrelay-demo-")
	if err != nil {
		return &FileError{Path: "directory", Cause: err}
	}
	defer os.RemoveAll(dir)
	d, err := deployment.Start(plan(), c.Relay, dir)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return err
	}
	host := d.Hosts[0]
	started := time.Now()
	for unanswered := d.FirstUnanswered(host); unanswered != ""; unanswered = d.FirstUnanswered(host) {
		if time.Since(started) > startTimeout {
			return &InvariantError{Violations: []string{unanswered}}
		}
		time.Sleep(startPoll)
	}
	fmt.Fprintf(c.streams.out, "%d daemons serve all keys after %s\n",
		len(d.Hosts), time.Since(started).Round(time.Millisecond))
	load := d.StartLoad()
	time.Sleep(c.Load)
	for _, line := range deployment.FormatTallies(load.Stop()) {
		fmt.Fprintln(c.streams.out, line)
	}
	if err := c.printTimeline(d); err != nil {
		return err
	}
	if violations := d.Checker.Violations(); len(violations) > 0 {
		return &InvariantError{Violations: violations}
	}
	fmt.Fprintln(c.streams.out, "no promise was broken")
	return nil
}

// printTimeline merges the timelines of all daemons and prints the latest events, without those of calls.
func (c *demoCommand) printTimeline(d *deployment.Deployment) error {
	var timelines [][]timeline.Event
	for _, h := range d.Hosts {
		events, err := operator.NewClient(h.OperatorAddress()).Timeline(context.Background(), timeline.Timestamp{})
		if err != nil {
			return err
		}
		timelines = append(timelines, events)
	}
	var shown []timeline.Event
	for _, e := range timeline.Merge(timelines...) {
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
