package deployment

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// warmupOverage and warmupSlack are the tolerance of cold servers: in each second one survives warmupOverage times what
	// its rate permits, and warmupSlack requests more. They equal the defaults of the daemon's settings.
	warmupOverage = 1.5
	warmupSlack   = 8
)

// warmup is the warm-up of a stand-in server. A cold server that gets too many requests crashes.
type warmup struct {
	settings class.ServiceSettings
	instance ownership.Instance
	checker  *InvariantChecker
	// onCrash is called when the server crashes. It is called once.
	onCrash func()

	mu        sync.Mutex
	until     time.Time
	hangUntil time.Time
	arrivals  []time.Time
	isCrashed bool
}

// cool makes the server cold for the given time, as if it had just started.
func (w *warmup) cool(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settings.WarmupRate > 0 {
		w.until, w.arrivals = time.Now().Add(d), nil
	}
}

// left returns how long the server remains cold.
func (w *warmup) left() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.until))
}

// arrive counts a request, and reports whether the server survives it.
func (w *warmup) arrive(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.isCrashed {
		return false
	}
	if !now.Before(w.until) {
		return true
	}
	w.arrivals = append(w.arrivals, now)
	for now.Sub(w.arrivals[0]) >= time.Second {
		w.arrivals = w.arrivals[1:]
	}
	if float64(len(w.arrivals)) <= warmupOverage*w.settings.WarmupRate+warmupSlack {
		return true
	}
	w.isCrashed = true
	w.checker.ReportViolation("request %s is number %d in a second at %s, which is cold and accepts %g per second",
		id, len(w.arrivals), w.instance, w.settings.WarmupRate)
	go w.onCrash()
	return false
}

// stateWarmup states the warm-up in the response to a health check.
func (w *warmup) stateWarmup(header http.Header, names call.HeaderNames) {
	header.Set(names.Warmup, strconv.FormatInt(w.left().Milliseconds(), 10))
}

// isHanging reports whether the server leaves requests unanswered.
func (w *warmup) isHanging() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.hangUntil)
}

// hang leaves a request unanswered, and the connection with it, until the other side closes it.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler) // closes the connection without a response
}

// excessGrace is how long the connection of an excess request has to stay open for it to count. After a pause of this
// process, requests arrive that the daemon gave up during the pause.
const excessGrace = 250 * time.Millisecond

// reportExcess reports a request that a server cannot queue, unless the daemon has given it up.
func (s *Server) reportExcess(r *http.Request, id string) {
	select {
	case <-r.Context().Done():
	case <-time.After(excessGrace):
		s.checker.ReportViolation("request %s reached %s, which has %d requests queued", id, s.instance, maxQueued)
	}
}

// HangServer makes the host's backend server, if one runs, leave the requests of the given time unanswered.
func (h *Host) HangServer(d time.Duration) {
	if server := h.currentServer(); server != nil {
		server.warmup.mu.Lock()
		defer server.warmup.mu.Unlock()
		server.warmup.hangUntil = time.Now().Add(d)
	}
}

// CoolServer makes the host's backend server, if one runs, cold for the given time.
func (h *Host) CoolServer(d time.Duration) {
	if server := h.currentServer(); server != nil {
		server.warmup.cool(d)
	}
}

// WithColdServers returns a plan whose servers are cold after their start. The rates suit the load of a session.
func WithColdServers(plan Plan) Plan {
	plan.Name += "_cold"
	config := *plan.Config
	config.Services = map[class.Service]class.ServiceSettings{}
	for name, s := range plan.Config.Services {
		s.WarmupTime, s.WarmupRate = 2*time.Second, 20
		config.Services[name] = s
	}
	plan.Config = &config
	return plan
}
