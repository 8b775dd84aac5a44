package daemon

import (
	"log"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
	"github.com/skylarkrelay/skylarkrelay/store"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// stdLogger is the logger type of net/http.
type stdLogger = *log.Logger

// observer records decisions as log lines, counters and timeline events. It is safe for concurrent use and never blocks
// on a full log: lines about single requests are rate-limited, and dropped lines are counted.
type observer struct {
	log          hclog.Logger
	registry     metrics.Registry
	events       *timeline.Recorder
	clock        clockwork.Clock
	lineLimiter  *rate.Limiter
	droppedLines metrics.Counter

	mu sync.Mutex
	// inputLimiters limits the rate of lines about rejected input, by kind of input.
	inputLimiters map[string]*rate.Limiter
}

// inputLinesPerSecond limits the lines about one kind of rejected input.
const inputLinesPerSecond = 2

func newObserver(
	log hclog.Logger, registry metrics.Registry, events *timeline.Recorder, clock clockwork.Clock, linesPerSecond int,
) *observer {
	return &observer{
		log:           log,
		registry:      registry,
		events:        events,
		clock:         clock,
		lineLimiter:   rate.NewLimiter(rate.Limit(linesPerSecond), max(1, linesPerSecond)),
		droppedLines:  metrics.GetOrRegisterCounter("log.lines_left_out", registry),
		inputLimiters: map[string]*rate.Limiter{},
	}
}

// counter is a metrics counter whose inc method can be used as a callback.
type counter struct{ metrics.Counter }

func (c counter) inc() { c.Inc(1) }

func (o *observer) counter(name string) counter {
	return counter{metrics.GetOrRegisterCounter(name, o.registry)}
}

// allowLine reports whether the rate limit permits another line about a request. A line that it does not permit is
// counted as dropped.
func (o *observer) allowLine() bool {
	if o.lineLimiter.AllowN(o.clock.Now(), 1) {
		return true
	}
	o.droppedLines.Inc(1)
	return false
}

// httpErrorLog returns the logger for the errors of an HTTP server.
func (o *observer) httpErrorLog(server string) stdLogger {
	return o.log.Named(server).StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// inputRejected records input that cannot be used. The kind names its source.
func (o *observer) inputRejected(kind string, err error) {
	o.counter("refused_input").inc()
	o.mu.Lock()
	limiter := o.inputLimiters[kind]
	if limiter == nil {
		limiter = rate.NewLimiter(inputLinesPerSecond, inputLinesPerSecond)
		if len(o.inputLimiters) > maxInputKinds {
			clear(o.inputLimiters)
		}
		o.inputLimiters[kind] = limiter
	}
	isAllowed := limiter.AllowN(o.clock.Now(), 1)
	o.mu.Unlock()
	if isAllowed {
		o.log.Warn("input refused", "what", kind, "error", err)
		o.events.Add(timeline.Event{Kind: timeline.InvalidInput, Name: kind, Detail: err.Error()})
	}
}

// maxInputKinds bounds the number of kinds of rejected input that have their own rate limit.
const maxInputKinds = 100

// attemptFailed records an attempt that was not answered.
func (o *observer) attemptFailed(a caller.Attempt) {
	o.counter(attemptsPrefix + a.Result.Reason.String()).inc()
	if !o.allowLine() {
		return
	}
	o.log.Info("attempt not answered", "request", a.Call.ID, "class", a.Call.Class.Name, "service", a.Call.Service,
		"to", a.Host, "outcome", a.Result.Outcome.String(), "reason", a.Result.Reason.String(),
		"took_ms", a.Duration.Milliseconds(), "key", a.Call.Key, "repeat", a.Call.IsRetry)
}

// lateArrival is the delay of a forwarded call, in addition to the usual one, from which on it is logged.
const lateArrival = 100 * time.Millisecond

// callArrived records a call that another daemon forwarded.
func (o *observer) callArrived(a peer.Arrival) {
	o.histogram("hop.delay_us").Update(a.Delay.Microseconds())
	if a.HasLeft {
		o.counter(abandonedPrefix + "before_arrival").inc()
	}
	if (a.Delay < lateArrival && !a.HasLeft) || !o.allowLine() {
		return
	}
	o.log.Info("forwarded call arrived late", "request", a.Call.ID, "class", a.Call.Class.Name, "from", a.From,
		"delay_ms", a.Delay.Milliseconds(), "left_ms", a.Call.Deadline.Sub(o.clock.Now()).Milliseconds(),
		"has_left", a.HasLeft)
}

// callAbandoned records a call whose caller left before it was sent to the backend server.
func (o *observer) callAbandoned(a backend.AbandonedCall) {
	o.counter(abandonedPrefix + "queued").inc()
	if !o.allowLine() {
		return
	}
	o.log.Info("caller left before its call was sent", "request", a.Call.ID, "class", a.Call.Class.Name,
		"queued_ms", a.Waited.Milliseconds(), "left_ms", a.Call.Deadline.Sub(o.clock.Now()).Milliseconds())
}

// callFinished records how a call ended. Calls that were not answered are logged one by one, answered calls only at
// debug level.
func (o *observer) callFinished(f caller.FinishedCall) {
	name := "none"
	if f.Call.Class != nil {
		name = string(f.Call.Class.Name)
	}
	outcome := f.Result.Outcome.String()
	o.counter(callsPrefix + outcome).inc()
	if f.WasUnread {
		o.counter(abandonedPrefix + "unread").inc()
	}
	if f.Result.Outcome == class.Answered {
		o.histogram("latency_us." + name).Update(f.Duration.Microseconds())
		if !o.log.IsDebug() {
			return
		}
	}
	if !o.allowLine() {
		return
	}
	o.log.Info("request finished", "request", f.Call.ID, "class", name, "service", f.Call.Service, "outcome", outcome,
		"reason", f.Result.Reason.String(), "status", call.HTTPStatus(f.Result), "took_ms", f.Duration.Milliseconds(),
		"host", f.Result.Host, "retry_after_ms", f.Result.RetryAfter.Milliseconds(), "config", f.ConfigVersion,
		"was_unread", f.WasUnread)
	o.events.Add(timeline.Event{
		Kind:    timeline.Call,
		Name:    outcome,
		Service: string(f.Call.Service),
		Class:   name,
		Request: string(f.Call.ID),
		Detail:  f.Result.Reason.String(),
	})
}

const (
	// sampleSize and sampleAlpha follow the recommendation of go-metrics for a bias to the last minutes, with a smaller
	// sample.
	sampleSize  = 256
	sampleAlpha = 0.015
)

// histogram returns the histogram with a name. The sample, of several kilobytes, is allocated only for a new one.
func (o *observer) histogram(name string) metrics.Histogram {
	return o.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// storeCalled records a call to the store.
func (o *observer) storeCalled(name string, took time.Duration, err error) {
	o.counter("store." + name).inc()
	if err != nil {
		o.counter("store.failed").inc()
	}
	o.histogram("store.latency_us").Update(took.Microseconds())
}

// configApplied records a new configuration.
func (o *observer) configApplied(version class.Version) {
	metrics.GetOrRegisterGauge("config.version", o.registry).Update(int64(version))
	o.log.Info("configuration in force", "version", version)
	o.events.Add(timeline.Event{Kind: timeline.Configuration, Name: "in_force"})
}

// staleValue records a value of the store that is older than the known one.
func (o *observer) staleValue(key string, revision, known store.Revision) {
	o.counter("store.stale_values").inc()
	if o.log.IsDebug() && o.allowLine() {
		o.log.Debug("value of the store not applied: a newer one is known", "key", key,
			"revision", revision.String(), "known", known.String())
	}
}

// crashReported records a report of this host about a request that was running when the backend server ended, or that a
// backend server answered after that.
func (o *observer) crashReported(r quarantine.Report, request class.RequestID, v quarantine.Verdict) {
	o.counter("quarantine.reports").inc()
	if !o.allowLine() {
		return
	}
	if r.IsAnswer() {
		o.log.Info("request cleared: a backend server answered it", "request", request, "fingerprint", r.Request.String())
		return
	}
	o.log.Warn("request was running when the backend server ended", "request", request,
		"fingerprint", r.Request.String(), "instance", r.Crash.Instance.String(), "crashes", v.Crashes,
		"held_ms", v.Held(o.clock.Now()).Milliseconds())
}

// reportReceived records a report of another host.
func (o *observer) reportReceived(r quarantine.Report, v quarantine.Verdict) {
	o.counter("quarantine.reports_received").inc()
	if o.allowLine() {
		o.log.Info("report about a request received", "peer", r.Crash.Host, "fingerprint", r.Request.String(),
			"crashes", v.Crashes, "held_ms", v.Held(o.clock.Now()).Milliseconds())
	}
}

// noRateLimit is the value of the gauge of the rate limit if there is none.
const noRateLimit = -1

// rateLimitChanged records that the backend server changed its rate limit. A server that states another limit in each
// response is logged as often as the lines about requests permit.
func (o *observer) rateLimitChanged(change backend.RateLimitChange) {
	perSecond := float64(change.After)
	if change.After == rate.Inf {
		perSecond = noRateLimit
	}
	metrics.GetOrRegisterGaugeFloat64("backend.rate_limit_per_s", o.registry).Update(perSecond)
	if !o.allowLine() {
		return
	}
	o.log.Info("rate limit of the backend server", "instance", change.Instance,
		"before", formatRateLimit(change.Before), "after", formatRateLimit(change.After), "request", change.Request)
}

func formatRateLimit(limit rate.Limit) string {
	if limit == rate.Inf {
		return "none"
	}
	return strconv.FormatFloat(float64(limit), 'f', -1, 64)
}

// ownershipEvent records a decision about the ownership of keys.
func (o *observer) ownershipEvent(service class.Service, e ownership.Event) {
	o.counter("ownership." + e.Kind.String()).inc()
	o.log.Info("ownership", "event", e.Kind.String(), "service", service, "peer", e.Host, "keys", e.Keys,
		"detail", e.Detail)
	o.events.Add(timeline.Event{
		Kind:    timeline.Ownership,
		Name:    e.Kind.String(),
		Service: string(service),
		Detail:  string(e.Host) + " " + e.Detail,
	})
}

// externalSystem logs when an external system that this process depends on is lost and regained.
type externalSystem struct {
	name  string
	log   hclog.Logger
	state *externalSystemState
}

type externalSystemState struct {
	mu     sync.Mutex
	isDown bool
}

func (o *observer) dependency(name string) externalSystem {
	return externalSystem{name: name, log: o.log, state: &externalSystemState{}}
}

func (d externalSystem) set(isUp bool, err error) {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	if d.state.isDown == !isUp {
		return
	}
	d.state.isDown = !isUp
	if isUp {
		d.log.Info("dependency regained", "name", d.name)
	} else {
		d.log.Warn("dependency lost", "name", d.name, "error", err)
	}
}
