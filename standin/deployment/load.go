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

// Tally is how the calls of one class ended.
type Tally struct {
	Sent     int
	Answered int
	// NotRun and Unknown are what callers were told of calls that were not answered.
	NotRun  int
	Unknown int
	// Worst is the longest time until an answer.
	Worst time.Duration
	// Gap is the longest time in which none was answered.
	Gap time.Duration
}

func (t Tally) String() string {
	return fmt.Sprintf("sent %d, answered %d, not run %d, unknown %d, worst %s, longest gap %s",
		t.Sent, t.Answered, t.NotRun, t.Unknown, t.Worst.Round(time.Millisecond), t.Gap.Round(time.Millisecond))
}

// Load calls all classes through all daemons, and checks every answer.
type Load struct {
	deployment *Deployment
	cancel     context.CancelFunc
	group      sync.WaitGroup

	interval time.Duration

	mu       sync.Mutex
	tallies  map[class.Name]*Tally
	answered map[class.Name]time.Time
	cuts     []Cut
}

// Cut is a call that ran and whose caller got no answer, since the daemon that it was sent to broke the connection.
type Cut struct {
	Host    ownership.HostID
	Request string
	At      time.Time
	Cause   error
}

// callInterval is the pause between two calls of one class through one daemon.
const callInterval = 25 * time.Millisecond

// StartLoad begins to call.
func (d *Deployment) StartLoad() *Load { return d.StartLoadWithInterval(callInterval) }

// StartLoadWithInterval begins to call, with a pause between two calls of one class through one daemon.
func (d *Deployment) StartLoadWithInterval(interval time.Duration) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{
		deployment: d,
		cancel:     cancel,
		interval:   interval,
		tallies:    map[class.Name]*Tally{},
		answered:   map[class.Name]time.Time{},
	}
	for _, h := range d.Hosts {
		for i := range d.plan.Config.Classes {
			c := &d.plan.Config.Classes[i]
			l.tallies[c.Name] = &Tally{}
			l.answered[c.Name] = time.Now()
			l.group.Go(func() { l.loop(ctx, h, c) })
		}
	}
	return l
}

func (l *Load) loop(ctx context.Context, h *Host, c *class.Class) {
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

// call makes one call and checks what comes back.
func (l *Load) call(client *http.Client, h *Host, c *class.Class, key class.Key) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	start := time.Now()
	status, body, err := l.deployment.send(client, h, c, key, id)
	ledger := l.deployment.Checker
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallies[c.Name]
	t.Sent++
	runs := ledger.runsOf(id)
	if !c.Idempotent && runs > 1 {
		ledger.ReportViolation("request %s of class %s ran %d times", id, c.Name, runs)
	}
	if runs > 0 && isCut(err) {
		l.cuts = append(l.cuts, Cut{Host: h.ID, Request: id, At: time.Now(), Cause: err})
	}
	switch {
	case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		t.Unknown++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.NotRun++
		if runs > 0 {
			ledger.ReportViolation("request %s was said not to have run and ran %d times", id, runs)
		}
	case status == http.StatusOK:
		var echo Echo
		if json.Unmarshal(body, &echo) != nil || echo.Request != id {
			ledger.ReportViolation("request %s got the answer %q", id, body)
		}
		now := time.Now()
		t.Answered++
		t.Worst = max(t.Worst, now.Sub(start))
		t.Gap = max(t.Gap, now.Sub(l.answered[c.Name]))
		l.answered[c.Name] = now
	default:
		ledger.ReportViolation("request %s got status %d", id, status)
	}
}

// isCut tells whether a connection broke, other than by the caller's own impatience.
func isCut(err error) bool {
	var timeout interface{ Timeout() bool }
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// BrokenCalls returns the calls that were cut, after Stop.
func (l *Load) BrokenCalls() []Cut { return l.cuts }

// send makes one call through a host's daemon.
func (d *Deployment) send(client *http.Client, h *Host, c *class.Class, key class.Key, id string) (int, []byte, error) {
	names := platform.Headers()
	method, payload := http.MethodGet, []byte(nil)
	if !c.Idempotent {
		method, payload = http.MethodPost, []byte("work")
	}
	request, err := http.NewRequest(method, "http://"+h.Caller()+c.Prefix+"item", bytes.NewReader(payload))
	if err != nil {
		return 0, nil, err
	}
	// A body that cannot be read twice keeps the client from sending a request again on its own, under the same id.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(payload))
	request.Host = c.Host
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.DeadlineMS, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	request.Header.Set(names.Key, strconv.Itoa(int(key)))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Stop ends the calls and returns how they went, by class.
func (l *Load) Stop() map[class.Name]Tally {
	l.cancel()
	l.group.Wait()
	tallies := map[class.Name]Tally{}
	for name, t := range l.tallies {
		tallies[name] = *t
	}
	return tallies
}

// FormatTallies returns tallies as text, in the order of the classes' names.
func FormatTallies(tallies map[class.Name]Tally) []string {
	var lines []string
	for name, t := range tallies {
		lines = append(lines, string(name)+": "+t.String())
	}
	sort.Strings(lines)
	return lines
}

// serveTimeout bounds one try of Unserved.
const serveTimeout = time.Second

// FirstUnanswered calls some keys of each class through one daemon and returns the first call that was not answered, or nothing.
func (d *Deployment) FirstUnanswered(h *Host) string {
	client := &http.Client{Timeout: serveTimeout}
	defer client.CloseIdleConnections()
	for i := range d.plan.Config.Classes {
		c := &d.plan.Config.Classes[i]
		for key := 0; key < class.KeyCount; key += class.KeyCount / 64 {
			id := strconv.FormatUint(rand.Uint64(), 36)
			status, _, err := d.send(client, h, c, class.Key(key), id)
			if err != nil || status != http.StatusOK {
				return fmt.Sprintf("class %s key %d: status %d, %v", c.Name, key, status, err)
			}
		}
	}
	return ""
}
