package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

// Tally counts the calls of one class by outcome, and records their latency.
type Tally struct {
	Sent     int
	Answered int
	// NotRun and Unknown count the calls that were not answered, by the outcome that their callers received.
	NotRun  int
	Unknown int
	// MaxLatency is the longest time from a call to its answer.
	MaxLatency time.Duration
	// LongestGap is the longest time without an answer. It is updated when an answer arrives.
	LongestGap time.Duration
}

func (t Tally) String() string {
	return fmt.Sprintf("sent %d, answered %d, not run %d, unknown %d, worst %s, longest gap %s",
		t.Sent, t.Answered, t.NotRun, t.Unknown, t.MaxLatency.Round(time.Millisecond),
		t.LongestGap.Round(time.Millisecond))
}

// Load makes calls of all classes through all daemons, and checks every response.
type Load struct {
	deployment *Deployment
	cancel     context.CancelFunc
	workers    sync.WaitGroup

	interval time.Duration

	mu           sync.Mutex
	tallies      map[class.Name]*Tally
	lastAnswered map[class.Name]time.Time
	brokenCalls  []BrokenCall
}

// BrokenCall is a call that was executed but whose caller got no response, because the daemon to which it was sent
// broke the connection.
type BrokenCall struct {
	Host    ownership.HostID
	Request string
	At      time.Time
	Cause   error
}

// callInterval is the default interval between the calls of one class through one daemon.
const callInterval = 25 * time.Millisecond

// StartLoad starts to make calls at the default interval.
func (d *Deployment) StartLoad() *Load { return d.StartLoadWithInterval(callInterval) }

// StartLoadWithInterval starts to make calls, with the given interval between the calls of one class through one
// daemon.
func (d *Deployment) StartLoadWithInterval(interval time.Duration) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{
		deployment:   d,
		cancel:       cancel,
		interval:     interval,
		tallies:      map[class.Name]*Tally{},
		lastAnswered: map[class.Name]time.Time{},
	}
	for _, h := range d.Hosts {
		for i := range d.plan.Config.Classes {
			c := &d.plan.Config.Classes[i]
			l.tallies[c.Name] = &Tally{}
			l.lastAnswered[c.Name] = time.Now()
			l.workers.Go(func() { l.callLoop(ctx, h, c) })
		}
		if c := d.idempotentClass(); c != nil {
			l.workers.Go(func() { l.pipelineLoop(ctx, h, c) })
			l.workers.Go(func() { l.leaveLoop(ctx, h, c) })
		}
	}
	return l
}

// callLoop makes calls of one class with random keys through one daemon until ctx ends.
func (l *Load) callLoop(ctx context.Context, h *Host, c *class.Class) {
	client := &http.Client{Timeout: c.Timeout + 2*time.Second}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.call(client, h, c, class.Key(rand.IntN(class.KeyCount)))
	}
}

// call makes one call, counts its outcome, and checks its response against the executions of the request.
func (l *Load) call(client *http.Client, h *Host, c *class.Class, key class.Key) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	start := time.Now()
	status, body, err := l.deployment.sendCall(client, h, c, key, id)
	checker := l.deployment.Checker
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallies[c.Name]
	t.Sent++
	executions := checker.executionCount(id)
	if !c.Idempotent && executions > 1 {
		checker.ReportViolation("request %s of class %s ran %d times", id, c.Name, executions)
	}
	if executions > 0 && isConnectionBroken(err) {
		l.brokenCalls = append(l.brokenCalls, BrokenCall{Host: h.ID, Request: id, At: time.Now(), Cause: err})
	}
	switch {
	case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		t.Unknown++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.NotRun++
		if executions > 0 {
			checker.ReportViolation("request %s was said not to have run and ran %d times", id, executions)
		}
	case status == http.StatusOK:
		var echo Echo
		if json.Unmarshal(body, &echo) != nil || echo.Request != id {
			checker.ReportViolation("request %s got the answer %q", id, body)
		}
		now := time.Now()
		t.Answered++
		t.MaxLatency = max(t.MaxLatency, now.Sub(start))
		t.LongestGap = max(t.LongestGap, now.Sub(l.lastAnswered[c.Name]))
		l.lastAnswered[c.Name] = now
	default:
		checker.ReportViolation("request %s got status %d", id, status)
	}
}

// isConnectionBroken reports whether a call failed for another reason than the timeout of its caller.
func isConnectionBroken(err error) bool {
	var timeout interface{ Timeout() bool }
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// BrokenCalls returns the executed calls whose connection broke. It may be called after Stop only.
func (l *Load) BrokenCalls() []BrokenCall { return l.brokenCalls }

// sendCall sends one call through a host's daemon and returns the status and body of the response.
func (d *Deployment) sendCall(
	client *http.Client, h *Host, c *class.Class, key class.Key, id string,
) (int, []byte, error) {
	return d.sendRequest(client, h, c, "item", key, id)
}

// sendRequest sends a request for a path of a class.
func (d *Deployment) sendRequest(
	client *http.Client, h *Host, c *class.Class, path string, key class.Key, id string,
) (int, []byte, error) {
	headers := platform.Headers()
	method, payload := http.MethodGet, []byte(nil)
	if !c.Idempotent {
		method, payload = http.MethodPost, []byte("work")
	}
	request, err := http.NewRequest(method, "http://"+h.CallerAddress()+c.Prefix+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, err
	}
	// Without GetBody the client cannot replay the body, so that it never resends a request with the same ID on its
	// own.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(payload))
	request.Host = c.Host
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.DeadlineMS, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	request.Header.Set(headers.Key, strconv.Itoa(int(key)))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Stop ends the calls and returns their tallies by class.
func (l *Load) Stop() map[class.Name]Tally {
	l.cancel()
	l.workers.Wait()
	tallies := map[class.Name]Tally{}
	for name, t := range l.tallies {
		tallies[name] = *t
	}
	return tallies
}

// FormatTallies returns one line of text for each class, sorted by the name of the class.
func FormatTallies(tallies map[class.Name]Tally) []string {
	var lines []string
	for name, t := range tallies {
		lines = append(lines, string(name)+": "+t.String())
	}
	sort.Strings(lines)
	return lines
}

// probeTimeout bounds each call of FirstUnanswered.
const probeTimeout = time.Second

// FirstUnanswered calls 64 keys of each class through one daemon. It returns a description of the first call that was
// not answered, or an empty string.
func (d *Deployment) FirstUnanswered(h *Host) string {
	client := &http.Client{Timeout: probeTimeout}
	defer client.CloseIdleConnections()
	for i := range d.plan.Config.Classes {
		c := &d.plan.Config.Classes[i]
		for key := 0; key < class.KeyCount; key += class.KeyCount / 64 {
			id := strconv.FormatUint(rand.Uint64(), 36)
			status, _, err := d.sendCall(client, h, c, class.Key(key), id)
			if err != nil || status != http.StatusOK {
				return fmt.Sprintf("class %s key %d: status %d, %v", c.Name, key, status, err)
			}
		}
	}
	return ""
}
