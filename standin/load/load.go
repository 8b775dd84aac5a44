// Package load sends the calls of a deployment's classes to its daemons and tells how they ended.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// slowest is the longest time that is told apart, in microseconds.
	slowest = 60_000_000
	// digits is the precision of the histograms.
	digits = 3
	// noAnswer is the outcome of a call that got no HTTP answer at all.
	noAnswer = "no_answer"
)

// Plan is a load: each class is called at its rate, by calls that do not wait for each other.
type Plan struct {
	Entries  []string
	Classes  []class.Class
	Rates    map[class.Name]float64
	Keys     int
	Duration time.Duration
	Seed     uint64
	// Direct says that the entries are backend servers themselves, which tell no outcome.
	Direct bool
}

// Tally is how the calls of one class ended.
type Tally struct {
	Class    class.Class
	Sent     int
	Outcomes map[string]int
	InTarget int
	// Mixed counts answers that were made for another request.
	Mixed     int
	Histogram *hdrhistogram.Histogram
}

// Result is how a load ended.
type Result struct {
	Tallies []*Tally
	// Errors counts the errors of calls without an answer.
	Errors map[string]int
	// LongestGap is the longest time in which a key got no answer although it was asked for.
	LongestGap time.Duration
}

// runner sends a plan.
type runner struct {
	plan   Plan
	clock  clockwork.Clock
	client *http.Client

	mu      sync.Mutex
	tallies map[class.Name]*Tally
	random  *rand.Rand
	errors  map[string]int
	failing map[string]time.Time
	gap     time.Duration
}

// Run sends a plan and waits for all answers.
func Run(ctx context.Context, plan Plan, clock clockwork.Clock) Result {
	r := &runner{
		plan:    plan,
		clock:   clock,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		tallies: map[class.Name]*Tally{},
		random:  rand.New(rand.NewPCG(plan.Seed, 11)),
		errors:  map[string]int{},
		failing: map[string]time.Time{},
	}
	var group sync.WaitGroup
	var result Result
	for _, c := range plan.Classes {
		t := &Tally{Class: c, Outcomes: map[string]int{}, Histogram: hdrhistogram.New(1, slowest, digits)}
		r.tallies[c.Name] = t
		result.Tallies = append(result.Tallies, t)
	}
	for _, c := range plan.Classes {
		if plan.Rates[c.Name] > 0 {
			group.Go(func() { r.stream(ctx, c, &group) })
		}
	}
	group.Wait()
	result.LongestGap = r.gap
	result.Errors = r.errors
	return result
}

// stream sends the calls of one class at random moments.
func (r *runner) stream(ctx context.Context, c class.Class, group *sync.WaitGroup) {
	next := r.clock.Now()
	end := next.Add(r.plan.Duration)
	for {
		next = next.Add(r.interval(c))
		if next.After(end) {
			return
		}
		select {
		case <-r.clock.After(next.Sub(r.clock.Now())):
		case <-ctx.Done():
			return
		}
		group.Go(func() { r.send(ctx, c) })
	}
}

func (r *runner) interval(c class.Class) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.ExpFloat64() / r.plan.Rates[c.Name] * float64(time.Second))
}

// entries returns the daemons in the order in which a call tries them.
func (r *runner) entries() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := slices.Clone(r.plan.Entries)
	r.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// path chooses a key and returns the path of a call.
func (r *runner) path(c class.Class) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("k%d", r.random.IntN(max(1, r.plan.Keys)))
	open, closing := strings.Index(c.Path, "{"), strings.Index(c.Path, "}")
	if open < 0 {
		return c.Path
	}
	return c.Path[:open] + key + c.Path[closing+1:]
}

// send makes one call. A daemon that takes no connection is left for another one, as callers do.
func (r *runner) send(ctx context.Context, c class.Class) {
	path := r.path(c)
	start := r.clock.Now()
	outcome, isMixed := noAnswer, false
	for _, entry := range r.entries() {
		var isRefused bool
		outcome, isMixed, isRefused = r.exchange(ctx, c.Method, "http://"+entry+path)
		if !isRefused {
			break
		}
	}
	r.count(c, path, outcome, isMixed, start)
}

// exchange makes one call and checks that the answer belongs to it.
func (r *runner) exchange(ctx context.Context, method, url string) (outcome string, isMixed, isRefused bool) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("work")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err) // the plan's classes were checked
	}
	response, err := r.client.Do(request)
	if err != nil {
		var dial *net.OpError
		isRefused = errors.As(err, &dial) && dial.Op == "dial"
		if !isRefused {
			r.lost(err)
		}
		return noAnswer, false, isRefused
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.lost(err)
		return noAnswer, false, false
	}
	outcome = response.Header.Get(call.OutcomeHeader)
	if r.plan.Direct && response.StatusCode == http.StatusOK {
		outcome = class.Answered.String()
	}
	var answer struct {
		Request string `json:"request"`
	}
	isReadable := json.Unmarshal(data, &answer) == nil
	return outcome, !isReadable || answer.Request != response.Header.Get(call.RequestHeader), false
}

func (r *runner) lost(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors[err.Error()]++
}

func (r *runner) count(c class.Class, path, outcome string, isMixed bool, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	t := r.tallies[c.Name]
	t.Sent++
	t.Outcomes[outcome]++
	if isMixed {
		t.Mixed++
	}
	if outcome != class.Answered.String() {
		if _, isFailing := r.failing[path]; !isFailing {
			r.failing[path] = start
		}
		return
	}
	if since, wasFailing := r.failing[path]; wasFailing {
		r.gap = max(r.gap, now.Sub(since))
		delete(r.failing, path)
	}
	took := now.Sub(start)
	r.gap = max(r.gap, took)
	if took <= c.Latency {
		t.InTarget++
	}
	_ = t.Histogram.RecordValue(min(took.Microseconds(), slowest)) // the value is inside the range
}

// Print writes a table for people.
func (r Result) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(out, "CLASS\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tNO ANSWER\tMIXED\tIN TARGET\tP50\tP99\tMAX")
	for _, t := range r.Tallies {
		micros := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%v\n",
			t.Class.Name, t.Sent, t.Outcomes["answered"], t.Outcomes["not_run"], t.Outcomes["unknown"], t.Outcomes[noAnswer], t.Mixed,
			100*float64(t.InTarget)/float64(max(1, t.Sent)),
			micros(t.Histogram.ValueAtQuantile(50)), micros(t.Histogram.ValueAtQuantile(99)), micros(t.Histogram.Max()))
	}
	fmt.Fprintf(out, "longest time a key got no answer: %v\n", r.LongestGap.Round(time.Millisecond))
	for text, count := range r.Errors {
		fmt.Fprintf(out, "%d x %s\n", count, text)
	}
	return out.Flush()
}
