package daemon

import (
	"log"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// logWriter is what net/http reports to.
type logWriter = *log.Logger

// observer turns decisions into log lines, counters and events. It is safe for concurrent use and never blocks on a
// full log: lines about single requests are bounded, and what is left out is counted.
type observer struct {
	log      hclog.Logger
	registry metrics.Registry
	ring     *timeline.Recorder
	clock    clockwork.Clock
	lines    *rate.Limiter
	left     metrics.Counter

	mu sync.Mutex
	// refusals bounds the lines about unreadable input, by kind.
	refusals map[string]*rate.Limiter
}

// refusalsPerSecond bounds the lines about one kind of unreadable input.
const refusalsPerSecond = 2

func newObserver(log hclog.Logger, registry metrics.Registry, ring *timeline.Recorder, clock clockwork.Clock, lines int) *observer {
	return &observer{
		log:      log,
		registry: registry,
		ring:     ring,
		clock:    clock,
		lines:    rate.NewLimiter(rate.Limit(lines), max(1, lines)),
		left:     metrics.GetOrRegisterCounter("log.lines_left_out", registry),
		refusals: map[string]*rate.Limiter{},
	}
}

// counter is a counter that can be passed on.
type counter struct{ metrics.Counter }

func (c counter) inc() { c.Inc(1) }

func (o *observer) counter(name string) counter {
	return counter{metrics.GetOrRegisterCounter(name, o.registry)}
}

// mayLog tells whether another line about a request fits.
func (o *observer) mayLog() bool {
	if o.lines.AllowN(o.clock.Now(), 1) {
		return true
	}
	o.left.Inc(1)
	return false
}

// httpErrors returns a logger for what net/http has to say.
func (o *observer) httpErrors(server string) logWriter {
	return o.log.Named(server).StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// refused takes note of input that cannot be used.
func (o *observer) refused(what string, err error) {
	o.counter("refused_input").inc()
	o.mu.Lock()
	limiter := o.refusals[what]
	if limiter == nil {
		limiter = rate.NewLimiter(refusalsPerSecond, refusalsPerSecond)
		if len(o.refusals) > maxKinds {
			clear(o.refusals)
		}
		o.refusals[what] = limiter
	}
	isAllowed := limiter.AllowN(o.clock.Now(), 1)
	o.mu.Unlock()
	if isAllowed {
		o.log.Warn("input refused", "what", what, "error", err)
		o.ring.Add(timeline.Event{Kind: timeline.InvalidInput, Name: what, Detail: err.Error()})
	}
}

// maxKinds bounds the kinds of unreadable input that are told apart.
const maxKinds = 100

// attempt takes note of a sending that was not answered.
func (o *observer) attempt(a caller.Attempt) {
	o.counter("attempts." + a.Answer.Reason.String()).inc()
	if !o.mayLog() {
		return
	}
	o.log.Info("attempt not answered", "request", a.Call.ID, "class", a.Call.Class.Name, "service", a.Call.Service,
		"to", a.Host, "outcome", a.Answer.Outcome.String(), "reason", a.Answer.Reason.String(),
		"took_ms", a.Took.Milliseconds(), "key", a.Call.Key, "repeat", a.Call.IsRepeat)
}

// finished takes note of how a call ended. Calls that were not answered have a line each, others when asked for.
func (o *observer) finished(f caller.Finished) {
	name := "none"
	if f.Call.Class != nil {
		name = string(f.Call.Class.Name)
	}
	outcome := f.Answer.Outcome.String()
	o.counter("calls." + outcome).inc()
	if f.Answer.Outcome == class.Answered {
		metrics.GetOrRegisterHistogram("latency_us."+name, o.registry, newSample()).Update(f.Took.Microseconds())
		if !o.log.IsDebug() {
			return
		}
	}
	if !o.mayLog() {
		return
	}
	o.log.Info("request finished", "request", f.Call.ID, "class", name, "service", f.Call.Service, "outcome", outcome,
		"reason", f.Answer.Reason.String(), "status", call.Status(f.Answer), "took_ms", f.Took.Milliseconds(),
		"host", f.Answer.Host, "retry_after_ms", f.Answer.RetryAfter.Milliseconds(), "config", f.Version)
	o.ring.Add(timeline.Event{
		Kind:    timeline.Call,
		Name:    outcome,
		Service: string(f.Call.Service),
		Class:   name,
		Request: string(f.Call.ID),
		Detail:  f.Answer.Reason.String(),
	})
}

const (
	// sampleSize and sampleAlpha are those that go-metrics recommends for a bias to the last minutes, on a smaller scale.
	sampleSize  = 256
	sampleAlpha = 0.015
)

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// storeCalled counts calls to the store.
func (o *observer) storeCalled(name string, took time.Duration, err error) {
	o.counter("store." + name).inc()
	if err != nil {
		o.counter("store.failed").inc()
	}
	metrics.GetOrRegisterHistogram("store.latency_us", o.registry, newSample()).Update(took.Microseconds())
}

// configInForce takes note of a new configuration.
func (o *observer) configInForce(version class.Version, revision uint64) {
	metrics.GetOrRegisterGauge("config.version", o.registry).Update(int64(version))
	o.log.Info("configuration in force", "version", version, "revision", revision)
	o.ring.Add(timeline.Event{Kind: timeline.Configuration, Name: "in_force"})
}

// ownershipEvent takes note of a decision about keys.
func (o *observer) ownershipEvent(service class.Service, e ownership.Event) {
	o.counter("ownership." + e.Kind.String()).inc()
	o.log.Info("ownership", "event", e.Kind.String(), "service", service, "peer", e.Host, "keys", e.Keys, "detail", e.Detail)
	o.ring.Add(timeline.Event{
		Kind:    timeline.Ownership,
		Name:    e.Kind.String(),
		Service: string(service),
		Detail:  string(e.Host) + " " + e.Detail,
	})
}

// dependency logs when something that this process needs is lost and regained.
type dependency struct {
	name  string
	log   hclog.Logger
	state *dependencyState
}

type dependencyState struct {
	mu     sync.Mutex
	isDown bool
}

func (o *observer) dependency(name string) dependency {
	return dependency{name: name, log: o.log, state: &dependencyState{}}
}

func (d dependency) set(isUp bool, err error) {
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
