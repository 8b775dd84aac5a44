package caller

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

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
		d.Candidates = []ExplainedCandidate{r.explainServer(s, &c)}
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
	ranked := r.balancer.preview(route, state.triedHosts, &state.call)
	listed := map[ownership.HostID]bool{}
	var target *Server
	for _, s := range ranked {
		candidate := r.explainServer(s, &state.call)
		if !r.leaving.accepts(s) {
			candidate.IsEligible = false
		} else if target == nil && candidate.IsEligible {
			target = s
		}
		listed[s.Host] = true
		d.Candidates = append(d.Candidates, candidate)
	}
	if size := r.balancer.sampleSize(&state.call); len(ranked) > size {
		d.Compared = size
	}
	for i := range route.Servers {
		if s := &route.Servers[i]; !listed[s.Host] {
			candidate := r.explainServer(s, &state.call)
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
func (b *balancer) preview(route *ServiceRoute, tried map[ownership.HostID]bool, c *call.Call) []*Server {
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
	slices.SortStableFunc(candidates, func(x, y *Server) int { return cmp.Compare(b.scoreFor(x, c), b.scoreFor(y, c)) })
	return append(ranked, candidates...)
}

// scoreFor returns the figure by which pick compares the servers for a call: the expected time if they are chosen by
// capacity, and otherwise the score.
func (b *balancer) scoreFor(s *Server, c *call.Call) float64 {
	if outlook := b.outlookOf(c); outlook != nil {
		return b.expectedTime(b.clock.Now(), outlook, s, c)
	}
	return b.score(s)
}

// sampleSize returns the number of candidates that pick compares for a call.
func (b *balancer) sampleSize(c *call.Call) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outlookOf(c) != nil {
		return sampledServers
	}
	return maxCandidates
}

// explainServer lists what counts for and against a server.
func (r *Relay) explainServer(s *Server, c *call.Call) ExplainedCandidate {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	stats := b.peek(s.Host)
	e := ExplainedCandidate{
		Host: s.Host, FailureDomain: s.Domain, IsEligible: s.takesUnkeyed() || c.HasKey && s.IsUsable,
		Score: b.scoreFor(s, c), InFlight: stats.inFlight, FailureRate: stats.failureRate,
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
