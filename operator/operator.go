// Package operator serves the operators of a daemon, and asks daemons on their behalf. It only reads.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Status is the state of one daemon.
type Status struct {
	Host          string          `json:"host"`
	FailureDomain string          `json:"failure_domain"`
	Service       class.Service   `json:"service"`
	Epoch         uint64          `json:"epoch"`
	Config        class.Version   `json:"config_version"`
	Server        string          `json:"backend_server"`
	Instance      string          `json:"instance"`
	Generation    uint64          `json:"generation"`
	Keys          int             `json:"keys"`
	AuthorityMS   int64           `json:"authority_ms"`
	Calls         admission.State `json:"calls"`
	Hosts         []HostStatus    `json:"hosts"`
}

// HostStatus is one host, as the asked daemon knows it.
type HostStatus struct {
	Host          string        `json:"host"`
	Service       class.Service `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	IsUsable      bool          `json:"usable"`
	Keys          int           `json:"keys"`
	Operator      string        `json:"operator"`
}

// Daemon is what operators can ask of a daemon.
type Daemon interface {
	Status(ctx context.Context) (Status, error)
	Timeline(after timeline.Timestamp) []timeline.Event
	Metrics() metrics.Registry
}

// Paths of the operators' interface.
const (
	statusPath   = "/status"
	timelinePath = "/timeline"
	metricsPath  = "/metrics"
)

// Handler serves operators. Failures to answer are reported.
func Handler(d Daemon, report func(error)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, r *http.Request) {
		status, err := d.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, status, report)
	})
	mux.HandleFunc("GET "+timelinePath, func(w http.ResponseWriter, r *http.Request) {
		after, err := parseStamp(r.URL.Query().Get("after"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, d.Timeline(after), report)
	})
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := writeMetrics(w, d.Metrics()); err != nil {
			report(err)
		}
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any, report func(error)) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		report(err)
	}
}

// StampError reports a stamp that cannot be read.
type StampError struct{ Text string }

func (e *StampError) Error() string {
	return "stamp " + strconv.Quote(e.Text) + ": must be WALL.COUNTER"
}

func parseStamp(text string) (timeline.Timestamp, error) {
	if text == "" {
		return timeline.Timestamp{}, nil
	}
	wall, counter, _ := strings.Cut(text, ".")
	ns, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return timeline.Timestamp{}, &StampError{Text: text}
	}
	count, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return timeline.Timestamp{}, &StampError{Text: text}
	}
	return timeline.Timestamp{Wall: ns, Counter: uint32(count)}, nil
}

// quantiles are those of the latency histograms that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetrics writes one line a figure, in the text format that most collectors read.
func writeMetrics(w io.Writer, registry metrics.Registry) error {
	var failed error
	line := func(name string, value any) {
		if failed == nil {
			_, failed = fmt.Fprintf(w, "skylarkrelay_%s %v\n", strings.NewReplacer(".", "_", "-", "_").Replace(name), value)
		}
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			line(name, m.Count())
		case metrics.Gauge:
			line(name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			line(name+"_count", s.Count())
			for i, value := range s.Percentiles(quantiles) {
				line(fmt.Sprintf("%s{quantile=\"%g\"}", name, quantiles[i]), value)
			}
		}
	})
	return failed
}

// Client asks one daemon.
type Client struct {
	address string
	http    *http.Client
}

// clientTimeout bounds a question to a daemon.
const clientTimeout = 5 * time.Second

// NewClient returns a client of the daemon whose operator address is given.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// UnreachableError reports a daemon that did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RefusedError reports a question that the daemon refused.
type RefusedError struct {
	Status  int
	Message string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

// Status asks for the daemon's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, statusPath, &s)
	return s, err
}

// Timeline asks for the daemon's events after a stamp.
func (c *Client) Timeline(ctx context.Context, after timeline.Timestamp) ([]timeline.Event, error) {
	var events []timeline.Event
	err := c.get(ctx, fmt.Sprintf("%s?after=%d.%d", timelinePath, after.Wall, after.Counter), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return &RefusedError{Status: response.StatusCode, Message: strings.TrimSpace(string(data))}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	return nil
}
