package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Status is the state of one daemon.
type Status struct {
	Member        string          `json:"member"`
	FailureDomain string          `json:"failure_domain"`
	Service       class.Service   `json:"service,omitempty"`
	IsMember      bool            `json:"is_member"`
	IsReady       bool            `json:"is_ready"`
	Generation    uint64          `json:"generation"`
	Slots         int             `json:"slots"`
	LeaseMS       int64           `json:"lease_ms"`
	Witnesses     []string        `json:"witnesses"`
	VouchesFor    int             `json:"vouches_for"`
	Config        class.Revision  `json:"config_revision"`
	Calls         admission.State `json:"calls"`
	Members       []MemberStatus  `json:"members"`
}

// MemberStatus is one member of any cell, as the asked daemon knows it.
type MemberStatus struct {
	Member        string        `json:"member"`
	Service       class.Service `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	State         string        `json:"state"`
	Slots         int           `json:"slots"`
	Operator      string        `json:"operator"`
}

// Daemon is what operators can ask of a daemon.
type Daemon interface {
	Status(ctx context.Context) (Status, error)
	Timeline(after timeline.Stamp) []timeline.Event
	Drain()
	Abandon(member ownership.Ref)
	Apply(ctx context.Context, based class.Revision, author, text string) (Change, error)
	History(ctx context.Context) ([]Change, error)
	Metrics() metrics.Registry
}

// Paths of the operators' interface.
const (
	statusPath   = "/status"
	timelinePath = "/timeline"
	drainPath    = "/drain"
	abandonPath  = "/abandon"
	configPath   = "/config"
	metricsPath  = "/metrics"
)

// maxConfig bounds a configuration, in bytes. The platform keeps several in one value.
const maxConfig = 256 << 10

// applyRequest asks for a change of the configuration.
type applyRequest struct {
	Based  class.Revision `json:"based"`
	Author string         `json:"author"`
	Text   string         `json:"text"`
}

// failure is the body of an answer that is not a success.
type failure struct {
	Kind     string             `json:"kind"`
	Message  string             `json:"message"`
	Problems []settings.Problem `json:"problems,omitempty"`
	Other    *Change            `json:"other,omitempty"`
}

// Kinds of failures.
const (
	kindProblems    = "problems"
	kindConflict    = "conflict"
	kindOpen        = "open"
	kindUnavailable = "unavailable"
	kindBadRequest  = "bad_request"
)

// Handler serves operators over HTTP.
func Handler(d Daemon) http.Handler {
	h := handler{daemon: d}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, h.status)
	mux.HandleFunc("GET "+timelinePath, h.timeline)
	mux.HandleFunc("POST "+drainPath, h.drain)
	mux.HandleFunc("POST "+abandonPath, h.abandon)
	mux.HandleFunc("GET "+configPath, h.history)
	mux.HandleFunc("POST "+configPath, h.apply)
	mux.HandleFunc("GET "+metricsPath, h.metrics)
	return mux
}

type handler struct{ daemon Daemon }

func (h handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.daemon.Status(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, status)
}

func (h handler) timeline(w http.ResponseWriter, r *http.Request) {
	var after timeline.Stamp
	if text := r.URL.Query().Get("after"); text != "" {
		if _, err := fmt.Sscanf(text, "%d.%d", &after.Wall, &after.Counter); err != nil {
			fail(w, &RequestError{Field: "after", Reason: "must be WALL.COUNTER"})
			return
		}
	}
	events := h.daemon.Timeline(after)
	if events == nil {
		events = []timeline.Event{}
	}
	reply(w, events)
}

func (h handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.daemon.Drain()
	reply(w, struct{}{})
}

func (h handler) abandon(w http.ResponseWriter, r *http.Request) {
	ref, err := ParseRef(r.URL.Query().Get("member"))
	if err != nil {
		fail(w, err)
		return
	}
	h.daemon.Abandon(ref)
	reply(w, struct{}{})
}

func (h handler) history(w http.ResponseWriter, r *http.Request) {
	changes, err := h.daemon.History(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	if changes == nil {
		changes = []Change{}
	}
	reply(w, changes)
}

func (h handler) apply(w http.ResponseWriter, r *http.Request) {
	var request applyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxConfig)).Decode(&request); err != nil {
		fail(w, &RequestError{Field: "body", Reason: err.Error()})
		return
	}
	change, err := h.daemon.Apply(r.Context(), request.Based, request.Author, request.Text)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, change)
}

// metrics writes all metrics in the text format that scrapers read.
func (h handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetrics(w, h.daemon.Metrics())
}

func writeMetrics(w io.Writer, registry metrics.Registry) {
	line := func(name, suffix string, value any) {
		clean := strings.NewReplacer(".", "_", "-", "_").Replace("skylarkrelay." + name)
		fmt.Fprintf(w, "%s%s %v\n", clean, suffix, value)
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			line(name, "", m.Count())
		case metrics.Gauge:
			line(name, "", m.Value())
		case metrics.Timer:
			snapshot := m.Snapshot()
			line(name, "_count", snapshot.Count())
			line(name, `_seconds{quantile="0.5"}`, snapshot.Percentile(0.5)/1e9)
			line(name, `_seconds{quantile="0.99"}`, snapshot.Percentile(0.99)/1e9)
		}
	})
}

// RequestError reports a request of an operator that cannot be read.
type RequestError struct {
	Field  string
	Reason string
}

func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ParseRef reads a member's name, HOST#INCARNATION.
func ParseRef(text string) (ownership.Ref, error) {
	host, number, found := strings.Cut(text, "#")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if !found || host == "" || err != nil {
		return ownership.Ref{}, &RequestError{Field: "member", Reason: "must be HOST#INCARNATION, as status shows it"}
	}
	return ownership.Ref{Host: ownership.HostID(host), Incarnation: ownership.Incarnation(incarnation)}, nil
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator sees a cut body
}

// fail answers with a typed failure.
func fail(w http.ResponseWriter, err error) {
	f := failure{Kind: kindUnavailable, Message: err.Error()}
	status := http.StatusServiceUnavailable
	var problems *settings.ProblemsError
	var conflict *ConflictError
	var open *OpenError
	var request *RequestError
	var large *platform.TooLargeError
	switch {
	case errors.As(err, &problems):
		f.Kind, f.Problems, status = kindProblems, problems.Problems, http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		f.Kind, f.Other, status = kindConflict, &conflict.Other, http.StatusConflict
	case errors.As(err, &open):
		f.Kind, status = kindOpen, http.StatusGatewayTimeout
	case errors.As(err, &request), errors.As(err, &large):
		f.Kind, status = kindBadRequest, http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f) // the operator sees a cut body
}
