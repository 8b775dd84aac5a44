// Package operator implements the HTTP interface through which operators read a daemon's status, timeline and metrics,
// and its client.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Status is the state of one daemon. Server is the state of the backend server beside it, and Instance identifies the
// instance of that server that sent the last heartbeat. Generation is that of the ownership record of Service, and Keys
// is the number of keys that the host owns in it. AuthorityMS is how long the host may still act on the record, and
// negative after that.
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
	// Evacuated lists the evacuated failure domains.
	Evacuated []string `json:"evacuated,omitempty"`
	// Rejections are the classes whose runs are rejected because their nested calls fail.
	Rejections []dependency.Rejection `json:"rejections,omitempty"`
}

// HostStatus is the state of one host as known to the daemon that reports it. IsUsable means that new calls may be
// sent to the host. It is false while the host's daemon shuts down, although the host then still gets the calls for its
// keys. Operator is the address on which the host's daemon serves operators.
type HostStatus struct {
	Host          string        `json:"host"`
	Service       class.Service `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	IsUsable      bool          `json:"usable"`
	Keys          int           `json:"keys"`
	Operator      string        `json:"operator"`
}

// Daemon provides the data that the handler serves.
type Daemon interface {
	Status(ctx context.Context) (Status, error)
	Timeline(after timeline.Timestamp) []timeline.Event
	Metrics() metrics.Registry
	// Explain states where a request would go now. It changes nothing.
	Explain(r caller.Request) (caller.Explanation, error)
}

// Paths of the HTTP interface. The profiles are those of net/http/pprof.
const (
	profilesPath = "/debug/pprof/"
	statusPath   = "/status"
	timelinePath = "/timeline"
	metricsPath  = "/metrics"
	explainPath  = "/explain"
)

// Handler returns the handler of the HTTP interface. It passes errors in writing a response to report.
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
		after, err := parseTimestamp(r.URL.Query().Get("after"))
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
	mux.HandleFunc("GET "+explainPath, explainHandler(d, report))
	return mux
}

// HandlerWithProfiles returns the handler of the HTTP interface with the profiles of the process.
func HandlerWithProfiles(d Daemon, report func(error)) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", Handler(d, report))
	mux.HandleFunc("GET "+profilesPath, pprof.Index)
	mux.HandleFunc("GET "+profilesPath+"profile", pprof.Profile)
	return mux
}

func writeJSON(w http.ResponseWriter, value any, report func(error)) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		report(err)
	}
}

// TimestampError reports an invalid timestamp in a request.
type TimestampError struct{ Text string }

func (e *TimestampError) Error() string {
	return "timestamp " + strconv.Quote(e.Text) + ": must be WALL.COUNTER"
}

func parseTimestamp(text string) (timeline.Timestamp, error) {
	if text == "" {
		return timeline.Timestamp{}, nil
	}
	wall, counter, _ := strings.Cut(text, ".")
	ns, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return timeline.Timestamp{}, &TimestampError{Text: text}
	}
	count, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return timeline.Timestamp{}, &TimestampError{Text: text}
	}
	return timeline.Timestamp{Wall: ns, Counter: uint32(count)}, nil
}

// quantiles are the quantiles of latency histograms that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetrics writes one line for each value, in the text format that most metrics collectors read.
func writeMetrics(w io.Writer, registry metrics.Registry) error {
	var writeErr error
	writeLine := func(name string, value any) {
		if writeErr == nil {
			_, writeErr = fmt.Fprintf(w, "skylarkrelay_%s %v\n", strings.NewReplacer(".", "_", "-", "_").Replace(name), value)
		}
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			writeLine(name, m.Count())
		case metrics.Gauge:
			writeLine(name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			writeLine(name+"_count", s.Count())
			for i, value := range s.Percentiles(quantiles) {
				writeLine(fmt.Sprintf("%s{quantile=\"%g\"}", name, quantiles[i]), value)
			}
		}
	})
	return writeErr
}

// Client sends requests to the HTTP interface of one daemon.
type Client struct {
	address string
	http    *http.Client
}

// clientTimeout limits the duration of a request to a daemon.
const clientTimeout = 5 * time.Second

// NewClient returns a client of the daemon with the given operator address.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// UnreachableError reports that a daemon did not send a complete, valid response.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("daemon responded with HTTP status %d: %s", e.Status, e.Message)
}

// Status requests the daemon's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, statusPath, &s)
	return s, err
}

// Timeline requests the daemon's events after a timestamp.
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
		return &StatusError{Status: response.StatusCode, Message: strings.TrimSpace(string(data))}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	return nil
}
