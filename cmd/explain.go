package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/operator"
)

// Exit codes of the command explain, which differ from those of the other commands.
const (
	// ExitRejected is the exit code if the request would be rejected.
	ExitRejected = 3
	// ExitNoRoute is the exit code if the request has no class or no server.
	ExitNoRoute = 4
)

// ExplainError reports that a request was not explained.
type ExplainError struct{ Cause error }

func (e *ExplainError) Error() string { return "explain: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExplainError) Unwrap() error { return e.Cause }

// VerdictError reports that a request would not be served.
type VerdictError struct {
	Verdict caller.Verdict
	Reason  string
}

func (e *VerdictError) Error() string {
	return fmt.Sprintf("the request would not be served: %s, %s", e.Verdict, e.Reason)
}

// explainCommand prints where a request would go now.
type explainCommand struct {
	At      string  `long:"at" env:"SKYLARKRELAY_DAEMON" default:"127.0.0.1:7405" value-name:"HOST:PORT" description:"operator address of the daemon that would get the request"`
	Host    string  `long:"host" required:"yes" description:"host of the request"`
	Path    string  `long:"path" required:"yes" description:"path of the request"`
	Key     *string `long:"key" description:"key of the request, 0 to 65535"`
	Output  string  `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	streams streams
}

func addExplain(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("explain", "explain where a request would go",
		"Asks a daemon where a request would go now and why. The request is not sent.\n"+
			"Exit codes: 0 would be served, 3 would be rejected, 4 no route, 1 failed.", &explainCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	request := caller.Request{Method: http.MethodGet, Host: c.Host, Path: c.Path}
	if c.Key != nil {
		key, err := caller.ParseKey(*c.Key)
		if err != nil {
			return &ExplainError{Cause: err}
		}
		request.Key, request.HasKey = key, true
	}
	e, err := operator.NewClient(c.At).Explain(context.Background(), request)
	if err != nil {
		return &ExplainError{Cause: err}
	}
	if c.Output == "json" {
		err = printJSON(c.streams.out, e)
	} else {
		err = c.print(e)
	}
	if err == nil && e.Verdict != caller.Served {
		return &VerdictError{Verdict: e.Verdict, Reason: e.Reason}
	}
	return err
}

func (c *explainCommand) print(e caller.Explanation) error {
	out := tabwriter.NewWriter(c.streams.out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(out, "verdict\t%s %s\n", e.Verdict, e.Reason)
	fmt.Fprintf(out, "configuration\tversion %d\n", e.ConfigVersion)
	fmt.Fprintf(out, "class\t%s, rank %d, idempotent %t\n", e.Class, e.Rank, e.IsIdempotent)
	fmt.Fprintf(out, "latency target\t%d ms, timeout %d ms, deadline %s\n",
		e.LatencyMS, e.TimeoutMS, e.Deadline.Format("15:04:05.000"))
	for i := range e.Destinations {
		printDestination(out, &e.Destinations[i])
	}
	return out.Flush()
}

func printDestination(out *tabwriter.Writer, d *caller.ExplainedDestination) {
	fmt.Fprintf(out, "\nservice\t%s, weight %d (%.0f%% of calls)\n", d.Service, d.Weight, 100*d.Share)
	fmt.Fprintf(out, "verdict\t%s %s\n", d.Verdict, d.Reason)
	fmt.Fprintf(out, "server\t%s\n", d.Host)
	if d.IsCutOff {
		fmt.Fprintln(out, "link\tby way of another failure domain")
	}
	fmt.Fprintf(out, "retry budget\t%.1f left\n", d.BudgetLeft)
	if d.RetryAfterMS > 0 {
		fmt.Fprintf(out, "retry after\t%d ms\n", d.RetryAfterMS)
	}
	if k := d.Key; k != nil {
		age := "unknown"
		if k.RecordAgeMS != nil {
			age = fmt.Sprintf("%d ms", *k.RecordAgeMS)
		}
		fmt.Fprintf(out, "key\t%d, owner %s, fence %d, record %d, age %s\n", k.Key, k.Owner, k.Fence, k.Generation, age)
	}
	if entry := d.Entry; entry != nil {
		fmt.Fprintf(out, "entry\trejected %t, rest %d ms, first offer waits up to %d ms\n",
			entry.IsRejected, entry.RestMS, entry.MaxWaitMS)
	}
	if a := d.Admission; a != nil {
		fmt.Fprintf(out, "admission\tadmitted %t %s, expected wait %d ms, %d running, %d waiting, limit %d, cold %t, %g calls/s\n",
			a.IsAdmitted, a.Reason, a.ExpectedWaitMS, a.State.Running, a.State.Waiting, a.State.Limit, a.State.IsCold,
			a.State.RatePerSecond)
	}
	if d.Compared > 0 {
		fmt.Fprintf(out, "compared\t%d of the candidates, at random\n", d.Compared)
	}
	fmt.Fprintln(out, "HOST\tFAILURE DOMAIN\tELIGIBLE\tSCORE\tLOAD\tREASONS")
	for _, s := range d.Candidates {
		load := "unknown"
		if s.Load != nil {
			load = fmt.Sprintf("%d+%d, %d ms old", s.Load.Running, s.Load.Waiting, s.Load.AgeMS)
		}
		fmt.Fprintf(out, "%s\t%s\t%t\t%.4f\t%s\t%s\n",
			s.Host, s.FailureDomain, s.IsEligible, s.Score, load, strings.Join(s.Reasons, "; "))
	}
}
