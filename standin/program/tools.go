package program

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/standin/backend"
	"github.com/skylarkrelay/skylarkrelay/standin/load"
)

// faultCommand sets the faults of a stand-in.
type faultCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS"`
		Fault   string `positional-arg-name:"JSON" description:"the fault; {} ends all"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (c *faultCommand) Execute([]string) error {
	return post("http://"+c.Args.Address+backend.FaultPath, []byte(c.Args.Fault))
}

// loadCommand sends a load.
type loadCommand struct {
	Classes  string             `long:"classes" required:"yes" description:"configuration file with the classes"`
	Entries  []string           `long:"entry" required:"yes" description:"caller address of a daemon; repeat it"`
	Rates    map[string]float64 `long:"rate" description:"CLASS:CALLS-A-SECOND; repeat it"`
	Rate     float64            `long:"default-rate" default:"20" description:"calls a second of the other classes"`
	Keys     int                `long:"keys" default:"1000" description:"number of keys"`
	Duration time.Duration      `long:"duration" default:"5s" description:"length"`
	Seed     uint64             `long:"seed" default:"1" description:"seed"`
	Direct   bool               `long:"direct" description:"the entries are backend servers, for comparison"`
	Strict   bool               `long:"strict" description:"fail unless every call was answered"`
	streams  streams
}

// UnansweredError reports a load in which calls failed.
type UnansweredError struct {
	Class    class.Name
	Outcomes map[string]int
	Mixed    int
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("class %s: outcomes %v, %d mixed", e.Class, e.Outcomes, e.Mixed)
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Classes)
	if err != nil {
		return &settings.FileError{Path: c.Classes, Cause: err}
	}
	classes, err := settings.ParseClasses(c.Classes, text)
	if err != nil {
		return err
	}
	plan := load.Plan{
		Entries:  c.Entries,
		Classes:  classes,
		Rates:    map[class.Name]float64{},
		Keys:     c.Keys,
		Duration: c.Duration,
		Seed:     c.Seed,
		Direct:   c.Direct,
	}
	for _, known := range classes {
		plan.Rates[known.Name] = c.Rate
	}
	for name, rate := range c.Rates {
		plan.Rates[class.Name(name)] = rate
	}
	result := load.Run(context.Background(), plan, clockwork.NewRealClock())
	if err := result.Print(c.streams.out); err != nil {
		return err
	}
	for _, t := range result.Tallies {
		if c.Strict && (t.Outcomes[class.Answered.String()] != t.Sent || t.Mixed > 0) {
			return &UnansweredError{Class: t.Class.Name, Outcomes: t.Outcomes, Mixed: t.Mixed}
		}
	}
	return nil
}

// awaitCommand waits for a deployment.
type awaitCommand struct {
	Daemon  string         `long:"daemon" required:"yes" description:"operator address of a daemon"`
	Active  int            `long:"active" description:"active members of all cells"`
	Balance bool           `long:"balanced" description:"slots of each cell equal within one, none unowned"`
	Cell    string         `long:"balanced-cell" description:"like balanced, for one service"`
	Gone    []string       `long:"gone" description:"host that is no member any more; repeat it"`
	Leased  bool           `long:"leased" description:"the asked daemon may serve"`
	Drained string         `long:"drained" description:"host that owns no slots and takes none"`
	Config  class.Revision `long:"config" description:"least configuration revision at the daemon"`
	Timeout time.Duration  `long:"timeout" default:"20s" description:"bound"`
	streams streams
}

// awaitPoll is the pause between two looks.
const awaitPoll = 20 * time.Millisecond

// AwaitError reports a state that did not come.
type AwaitError struct {
	Missing string
}

func (e *AwaitError) Error() string { return "not reached: " + e.Missing }

// Execute implements flags.Commander.
func (c *awaitCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := operator.NewClient(c.Daemon)
	for {
		missing := "the daemon's answer"
		if status, err := client.Status(ctx); err == nil {
			missing = c.missing(status)
		}
		if missing == "" {
			return nil
		}
		select {
		case <-time.After(awaitPoll):
		case <-ctx.Done():
			return &AwaitError{Missing: missing}
		}
	}
}

// missing says what is not yet as awaited.
func (c *awaitCommand) missing(s operator.Status) string {
	active := 0
	slots := map[class.Service][]int{}
	for _, m := range s.Members {
		host, _, _ := strings.Cut(m.Member, "#")
		if slices.Contains(c.Gone, host) {
			return host + " to be gone"
		}
		if host == c.Drained && (m.Slots > 0 || m.State == "active") {
			return host + " to be drained"
		}
		if m.State == "active" {
			active++
			slots[m.Service] = append(slots[m.Service], m.Slots)
		}
	}
	if active < c.Active {
		return fmt.Sprintf("%d active members, there are %d", c.Active, active)
	}
	if c.Balance || c.Cell != "" {
		for service, counts := range slots {
			isAsked := c.Balance || string(service) == c.Cell
			if isAsked && !isBalanced(counts) {
				return fmt.Sprintf("balance of %s, slots are %v", service, counts)
			}
		}
	}
	if c.Leased && s.LeaseMS == 0 {
		return "a lease"
	}
	if s.Config < c.Config {
		return fmt.Sprintf("configuration %d, it is %d", c.Config, s.Config)
	}
	return ""
}

// cellSlots is the number of slots of a cell in the examples.
const cellSlots = 1024

func isBalanced(counts []int) bool {
	total, least, most := 0, counts[0], counts[0]
	for _, n := range counts {
		total += n
		least = min(least, n)
		most = max(most, n)
	}
	return most-least <= 1 && total == cellSlots
}

// callCommand makes one call.
type callCommand struct {
	Method string   `long:"method" default:"GET" description:"HTTP method"`
	Body   string   `long:"body" description:"body"`
	Header []string `long:"header" description:"NAME=VALUE; repeat it"`
	Args   struct {
		URL string `positional-arg-name:"URL"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// Execute implements flags.Commander.
func (c *callCommand) Execute([]string) error {
	request, err := http.NewRequest(c.Method, c.Args.URL, strings.NewReader(c.Body))
	if err != nil {
		return &ServeError{Address: c.Args.URL, Cause: err}
	}
	for _, header := range c.Header {
		name, value, _ := strings.Cut(header, "=")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &ServeError{Address: c.Args.URL, Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return &ServeError{Address: c.Args.URL, Cause: err}
	}
	// The request id differs on each run, so it is left out of what sessions compare.
	id := response.Header.Get(call.RequestHeader)
	text := strings.TrimSpace(strings.ReplaceAll(string(body), id, "REQUEST"))
	_, err = fmt.Fprintf(c.streams.out, "%d %s %s\n", response.StatusCode, response.Header.Get(call.OutcomeHeader), text)
	return err
}

// runsCommand checks what backend servers have run.
type runsCommand struct {
	Method string `long:"method" default:"POST" description:"count only this method"`
	Path   string `long:"path" description:"count only paths with this prefix"`
	Args   struct {
		Servers []string `positional-arg-name:"ADDRESS" required:"1"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// RepeatedError reports an order that ran more than once.
type RepeatedError struct {
	Run backend.Run
}

func (e *RepeatedError) Error() string {
	return fmt.Sprintf("%s %s ran %d times (request %s)", e.Run.Method, e.Run.Path, e.Run.Times, e.Run.Request)
}

// Execute implements flags.Commander.
func (c *runsCommand) Execute([]string) error {
	total := map[string]*backend.Run{}
	for _, server := range c.Args.Servers {
		var runs []backend.Run
		if err := getJSON("http://"+server+backend.RunsPath, &runs); err != nil {
			return err
		}
		for _, run := range runs {
			if run.Method != c.Method || !strings.HasPrefix(run.Path, c.Path) {
				continue
			}
			if known := total[run.Request]; known != nil {
				known.Times += run.Times
				continue
			}
			total[run.Request] = &run
		}
	}
	for _, run := range total {
		if run.Times > 1 {
			return &RepeatedError{Run: *run}
		}
	}
	_, err := fmt.Fprintf(c.streams.out, "%d ran, each once\n", len(total))
	return err
}
