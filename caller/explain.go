package caller

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Request describes the request of a caller whose route is explained.
type Request struct {
	Method string
	Host   string
	Path   string
	Key    class.Key
	HasKey bool
}

// Explanation states where a request would go now and why.
type Explanation struct {
	ConfigVersion class.Version `json:"config_version"`
	// Class is empty if no class matches.
	Class        class.Name             `json:"class,omitempty"`
	Rank         class.Rank             `json:"rank"`
	IsIdempotent bool                   `json:"idempotent"`
	LatencyMS    int64                  `json:"latency_target_ms"`
	TimeoutMS    int64                  `json:"timeout_ms"`
	Deadline     time.Time              `json:"deadline"`
	Verdict      Verdict                `json:"verdict"`
	Reason       string                 `json:"reason,omitempty"`
	Destinations []ExplainedDestination `json:"destinations"`
}

// ExplainedDestination is the explanation for one of the services to which a call may go.
type ExplainedDestination struct {
	Service class.Service `json:"service"`
	Weight  int           `json:"weight"`
	// Share is the probability with which a call goes to the service.
	Share   float64 `json:"share"`
	IsKeyed bool    `json:"keyed"`
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason,omitempty"`
	// RetryAfterMS is the least time after which a rejected call may find capacity.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Host is the host of the preferred server. IsCutOff reports whether it is reached by way of another domain.
	Host       ownership.HostID     `json:"host,omitempty"`
	IsCutOff   bool                 `json:"cut_off,omitempty"`
	Key        *ExplainedKey        `json:"key,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// Compared is the number of candidates of which a call compares a random subset, if they are more.
	Compared int             `json:"compared,omitempty"`
	Entry    *ExplainedEntry `json:"entry,omitempty"`
	// Admission is set by the daemon for the preferred server.
	Admission  *admission.Assessment `json:"admission,omitempty"`
	BudgetLeft float64               `json:"retry_budget_left"`
	IsFailing  bool                  `json:"failing,omitempty"`

	call call.Call
}

// ExplainedKey is the assignment of a key. Generation is the revision of the record.
type ExplainedKey struct {
	Key        class.Key        `json:"key"`
	Owner      ownership.HostID `json:"owner,omitempty"`
	Fence      ownership.Fence  `json:"fence"`
	Generation ownership.Fence  `json:"generation"`
	// RecordAgeMS is how long the daemon has routed by the record, if that is known.
	RecordAgeMS *int64 `json:"record_age_ms,omitempty"`
}

// ExplainedCandidate is one server of a service, with what counts for and against it.
type ExplainedCandidate struct {
	Host          ownership.HostID        `json:"host"`
	FailureDomain ownership.FailureDomain `json:"failure_domain"`
	IsEligible    bool                    `json:"eligible"`
	// Score is lower for preferred servers.
	Score       float64   `json:"score"`
	InFlight    int       `json:"in_flight"`
	FailureRate float64   `json:"failure_rate"`
	Load        *LoadSeen `json:"load,omitempty"`
	// ColdTokens is the number of calls that this daemon may send to a cold server now.
	ColdTokens *float64 `json:"cold_tokens,omitempty"`
	Reasons    []string `json:"reasons,omitempty"`
}

// LoadSeen is the last known load of a server and its age.
type LoadSeen struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	WaitMS  int64 `json:"wait_ms"`
	AgeMS   int64 `json:"age_ms"`
}

// ExplainedEntry states whether the entry daemon rejects the call itself, and the bound of the first offer.
type ExplainedEntry struct {
	IsRejected    bool  `json:"rejected"`
	RestMS        int64 `json:"rest_ms"`
	IsProbe       bool  `json:"probe,omitempty"`
	MaxWaitMS     int64 `json:"max_wait_ms"`
	IsLast        bool  `json:"last_offer"`
	retryAfterFor time.Duration
}

// UnknownHostError reports a host that no class of the configuration names.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string {
	return "host " + strconv.Quote(e.Host) + ": no class of the configuration is for this host"
}

// KeyError reports a malformed key.
type KeyError struct{ Text string }

func (e *KeyError) Error() string {
	return "key " + strconv.Quote(e.Text) + ": must be a number from 0 to 65535"
}

// PathError reports a path that is not one of a request.
type PathError struct{ Text string }

func (e *PathError) Error() string {
	return "path " + strconv.Quote(e.Text) + ": must begin with a slash"
}

// NotConfiguredError reports that the daemon has no configuration yet.
type NotConfiguredError struct{}

func (e *NotConfiguredError) Error() string { return "the daemon has no configuration yet" }

// ParseKey parses a key as in the header of a request.
func ParseKey(text string) (class.Key, error) {
	key, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, &KeyError{Text: text}
	}
	return class.Key(key), nil
}

// Explain states where a request would go now. It changes nothing and sends nothing.
func (h *Handler) Explain(r Request) (Explanation, error) {
	config := h.config.Load()
	if config == nil {
		return Explanation{}, &NotConfiguredError{}
	}
	path, err := url.ParseRequestURI(r.Path)
	if err != nil || r.Path[0] != '/' {
		return Explanation{}, &PathError{Text: r.Path}
	}
	now := h.clock.Now()
	e := Explanation{ConfigVersion: config.Version, Verdict: NoRoute, Destinations: []ExplainedDestination{}}
	matched := config.Router.Match(r.Host, path.EscapedPath())
	if matched == nil {
		if !config.Router.HasHost(r.Host) {
			return Explanation{}, &UnknownHostError{Host: r.Host}
		}
		e.Reason = call.UnknownClass.String()
		return e, nil
	}
	e.Class, e.Rank, e.IsIdempotent = matched.Name, matched.Rank, matched.Idempotent
	e.LatencyMS, e.TimeoutMS = matched.Latency.Milliseconds(), matched.Timeout.Milliseconds()
	e.Deadline = now.Add(matched.Timeout)
	c := call.Call{
		Origin: h.origin, Method: r.Method, URI: r.Path, Host: r.Host, Class: matched, Deadline: e.Deadline,
	}
	for i, d := range matched.Destinations {
		c.Service, c.Key, c.HasKey = d.Service, r.Key, r.HasKey && config.Services[d.Service].IsKeyed
		explained := h.relay.explain(c)
		if h.isRejecting.Load() {
			explained.Verdict, explained.Reason = Rejected, call.Closing.String()
		}
		explained.Weight, explained.Share = d.Weight, destinationShare(matched.Destinations, i)
		e.Destinations = append(e.Destinations, explained)
	}
	e.conclude()
	return e, nil
}

// conclude sets the verdict to the worst of the services to which the call may go.
func (e *Explanation) conclude() {
	e.Verdict, e.Reason = Served, ""
	for _, d := range e.Destinations {
		if d.Share > 0 && d.Verdict > e.Verdict {
			e.Verdict, e.Reason = d.Verdict, d.Reason
		}
	}
}

// destinationShare returns the probability with which chooseDestination chooses a destination.
func destinationShare(destinations []class.Destination, index int) float64 {
	total := 0
	for _, d := range destinations {
		total += d.Weight
	}
	if len(destinations) == 1 || total <= 0 {
		if index == 0 {
			return 1
		}
		return 0
	}
	return float64(destinations[index].Weight) / float64(total)
}

// explain states what the relay would do with a call to one service, from the decisions that calls use. The state of the
// call is thrown away, and the shared state is only read.
func (r *Relay) explain(c call.Call) ExplainedDestination {
	now := r.clock.Now()
	d := ExplainedDestination{Service: c.Service, Verdict: Served, call: c}
	d.BudgetLeft, d.IsFailing = r.budget.Left(c.Service)
	route, _ := r.table.Lookup(c.Service)
	state := &callState{call: c, arrived: now, triedHosts: map[ownership.HostID]bool{}}
	if route == nil {
		d.Verdict, d.Reason = NoRoute, call.NoServer.String()
		return d
	}
	d.IsKeyed = route.IsKeyed
	r.excludeCutOff(route, state)
	r.planOffer(route, state)
	var target *Server
	if route.IsKeyed && c.HasKey {
		target = r.explainKey(route, c, &d)
	} else {
		target = r.explainCandidates(route, state, &d)
	}
	if r.bounded.applies(c) {
		d.Entry = r.bounded.explainEntry(c, state.bound)
	}
	switch {
	case d.Entry != nil && d.Entry.IsRejected:
		d.Verdict, d.Reason = Rejected, call.Overload.String()
		d.RetryAfterMS = d.Entry.retryAfterFor.Milliseconds()
	case target == nil:
		d.Verdict, d.Reason = NoRoute, call.NoServer.String()
	}
	if target != nil {
		d.Host = target.Host
	}
	d.call.MaxWait = state.call.MaxWait
	return d
}

// explainKey explains the owner of the key and returns its server if the call would be sent to it.
func (r *Relay) explainKey(route *ServiceRoute, c call.Call, d *ExplainedDestination) *Server {
	d.Key = &ExplainedKey{Key: c.Key, Fence: route.fence(c.Key)}
	if route.Record != nil {
		d.Key.Owner, d.Key.Generation = route.Record.Owner(c.Key), route.Record.Generation
		if !route.RecordSeenAt.IsZero() {
			age := r.clock.Since(route.RecordSeenAt).Milliseconds()
			d.Key.RecordAgeMS = &age
		}
	}
	if s := route.byHost[d.Key.Owner]; s != nil {
		d.Candidates = []ExplainedCandidate{r.explainServer(s, true)}
	}
	owner := route.owner(c.Key)
	if owner == nil || !r.leaving.accepts(owner) {
		return nil
	}
	if r.isCutOff(owner) {
		d.IsCutOff = true
		if r.chooseVia(owner) == nil {
			return nil
		}
	}
	return owner
}

// explainCandidates explains the servers of a service for a call without a key, and returns the preferred one or nil.
func (r *Relay) explainCandidates(route *ServiceRoute, state *callState, d *ExplainedDestination) *Server {
	ranked := r.balancer.preview(route, state.triedHosts)
	listed := map[ownership.HostID]bool{}
	var target *Server
	for _, s := range ranked {
		candidate := r.explainServer(s, false)
		if !r.leaving.accepts(s) {
			candidate.IsEligible = false
		} else if target == nil && candidate.IsEligible {
			target = s
		}
		listed[s.Host] = true
		d.Candidates = append(d.Candidates, candidate)
	}
	if len(ranked) > maxCandidates {
		d.Compared = maxCandidates
	}
	for i := range route.Servers {
		if s := &route.Servers[i]; !listed[s.Host] {
			candidate := r.explainServer(s, false)
			candidate.IsEligible = false
			d.Candidates = append(d.Candidates, candidate)
		}
	}
	if target == nil {
		if target = r.selectCutOff(route, state); target != nil {
			d.IsCutOff = true
		}
	}
	return target
}

// preview returns the servers that pick chooses among, in the order of preference: cold servers with a token first.
func (b *balancer) preview(route *ServiceRoute, tried map[ownership.HostID]bool) []*Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	cold, candidates := splitCold(now, route, b.candidates(route, tried))
	var ranked []*Server
	for _, s := range cold {
		if b.cold.peek(now, s) >= 1 {
			ranked = append(ranked, s)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *Server) int { return cmp.Compare(b.score(x), b.score(y)) })
	return append(ranked, candidates...)
}

// explainServer lists what counts for and against a server.
func (r *Relay) explainServer(s *Server, isForKey bool) ExplainedCandidate {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	stats := b.peek(s.Host)
	e := ExplainedCandidate{
		Host: s.Host, FailureDomain: s.Domain, IsEligible: s.takesUnkeyed() || isForKey && s.IsUsable,
		Score: b.score(s), InFlight: stats.inFlight, FailureRate: stats.failureRate,
	}
	if !stats.loadTime.IsZero() {
		e.Load = &LoadSeen{
			Running: stats.load.Running, Waiting: stats.load.Waiting, WaitMS: stats.load.QueueDelay.Milliseconds(),
			AgeMS: now.Sub(stats.loadTime).Milliseconds(),
		}
	}
	note := func(condition bool, format string, args ...any) {
		if condition {
			e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
		}
	}
	note(!s.IsUsable, "not usable")
	note(s.IsShuttingDown, "its daemon shuts down")
	note(s.IsEvacuated, "its failure domain is evacuated")
	note(r.isCutOff(s), "its failure domain is unreachable")
	note(!r.leaving.accepts(s), "leaving")
	note(now.Before(stats.ejectedUntil), "ejected for %d ms", stats.ejectedUntil.Sub(now).Milliseconds())
	note(now.Before(s.WarmupUntil), "cold for %d ms", s.WarmupUntil.Sub(now).Milliseconds())
	if s.isLimited(now) {
		tokens := b.cold.peek(now, s)
		e.ColdTokens = &tokens
		note(true, "share of %.3f calls/s while cold, %.2f calls left", s.ColdRate, tokens)
	}
	note(stats.failures > 0, "%d consecutive failures", stats.failures)
	note(stats.failureRate > 0, "failure rate %.2f", stats.failureRate)
	note(s.Domain != b.domain, "in another failure domain")
	return e
}

// explainEntry states whether the entry daemon rejects the next call of the class.
func (b *boundedOffers) explainEntry(c call.Call, bound offerBound) *ExplainedEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.peek(c)
	left := s.restLeft(c, b.clock.Now())
	e := &ExplainedEntry{
		RestMS: left.Milliseconds(), IsProbe: left > 0 && s.isProbeNext(),
		MaxWaitMS: bound.maxWait.Milliseconds(), IsLast: bound.isLast,
	}
	e.IsRejected = left > 0 && !e.IsProbe
	if e.IsRejected {
		e.retryAfterFor = s.capacityAfter(left)
	}
	return e
}

// AssessLocal completes the explanation with the admission verdicts of the server beside this daemon, for the services
// whose preferred server it is. assess must change nothing.
func (e *Explanation) AssessLocal(self ownership.HostID, assess func(c call.Call) (verdict *admission.Assessment, rejection call.Reason, retryAfterMS int64)) {
	for i := range e.Destinations {
		d := &e.Destinations[i]
		if d.Host != self || d.Verdict != Served {
			continue
		}
		verdict, rejection, retryAfterMS := assess(d.call)
		d.Admission = verdict
		if rejection != call.None {
			d.Verdict, d.Reason, d.RetryAfterMS = Rejected, rejection.String(), retryAfterMS
		}
	}
	if e.Class != "" {
		e.conclude()
	}
}
