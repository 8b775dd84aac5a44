package caller

import (
	"math/rand/v2"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// maxRelays is how often a call may be sent by way of another domain. The second time allows for a daemon there that has
// just ended.
const maxRelays = 2

// UseReach makes the relay send calls to unreachable failure domains by way of a third one while it is load-aware. It must
// be called before the first call.
func (r *Relay) UseReach(reach *Reach) { r.reach = reach }

// isReachAware reports whether calls are sent by way of other domains.
func (r *Relay) isReachAware() bool { return r.bounded.isActive.Load() }

// ActiveReach returns what is known of the reach of this daemon, or nil unless the relay is load-aware.
func (r *Relay) ActiveReach() *Reach {
	if !r.isReachAware() {
		return nil
	}
	return r.reach
}

// isCutOff reports whether the domain of a server is unreachable.
func (r *Relay) isCutOff(s *Server) bool { return r.isReachAware() && r.reach.IsUnreachable(s.Domain) }

// excludeCutOff excludes the servers in unreachable domains from the choice for a call without a key.
func (r *Relay) excludeCutOff(route *ServiceRoute, state *callState) {
	if route == nil || route.IsKeyed && state.call.HasKey || !r.isReachAware() {
		return
	}
	domains := r.reach.Unreachable()
	if len(domains) == 0 {
		return
	}
	for i := range route.Servers {
		s := &route.Servers[i]
		if s.takesUnkeyed() && !state.triedHosts[s.Host] && r.isCutOff(s) {
			state.triedHosts[s.Host] = true
			state.cutOff = append(state.cutOff, s)
		}
	}
	for _, s := range state.unconnected {
		if r.isCutOff(s) {
			state.cutOff = append(state.cutOff, s)
		}
	}
	state.unconnected = nil
}

// isUnconnected reports whether no connection to the daemon of a server was found, so that nothing was sent.
func isUnconnected(result call.Result) bool {
	return result.Reason == call.Unreachable && result.Host == ""
}

// hasDeferred reports whether there are reachable servers to which the call may be offered again.
func (s *callState) hasDeferred() bool { return len(s.deferredHosts) > 0 }

// selectCutOff returns a server in an unreachable domain, with the server through whose daemon it is reached, or nil. It
// is for calls without a key that have no other server. A cold server gets no relayed calls, since its share of calls is
// counted for direct ones.
func (r *Relay) selectCutOff(route *ServiceRoute, state *callState) *Server {
	now := r.clock.Now()
	for len(state.cutOff) > 0 {
		i := rand.IntN(len(state.cutOff))
		s := state.cutOff[i]
		state.cutOff = append(state.cutOff[:i:i], state.cutOff[i+1:]...)
		current := route.byHost[s.Host] // the routes may have changed meanwhile
		if current == nil || !current.takesUnkeyed() || current.isLimited(now) || !r.leaving.accepts(current) {
			continue
		}
		if relayed := r.relayed(current, state); relayed != nil {
			return relayed
		}
	}
	return nil
}

// relayed returns a server with the one through whose daemon it is reached, or nil if there is none. Every call is sent
// that way maxRelays times at most.
func (r *Relay) relayed(s *Server, state *callState) *Server {
	if state.relays >= maxRelays {
		return nil
	}
	via := r.chooseVia(s)
	if via == nil {
		return nil
	}
	state.relays++
	relayed := *s
	relayed.Via = via
	return &relayed
}

// chooseVia returns a random server of a third domain whose daemon may reach a server, or nil.
func (r *Relay) chooseVia(to *Server) *Server {
	now := r.clock.Now()
	canRelay := map[ownership.FailureDomain]bool{}
	var via *Server
	count := 0
	for _, route := range r.table.current.Load().routes {
		for i := range route.Servers {
			s := &route.Servers[i]
			if !s.IsUsable || s.IsShuttingDown {
				continue
			}
			isAllowed, isKnown := canRelay[s.Domain]
			if !isKnown {
				isAllowed = r.reach.CanRelay(now, to.Domain, s.Domain)
				canRelay[s.Domain] = isAllowed
			}
			if !isAllowed {
				continue
			}
			count++
			if rand.IntN(count) == 0 {
				via = s
			}
		}
	}
	return via
}

// observeReach records what the result of an attempt says about the reach of this daemon.
func (r *Relay) observeReach(target *Server, result call.Result) {
	if !r.isReachAware() {
		return
	}
	now := r.clock.Now()
	first := target
	if target.Via != nil {
		first = target.Via
	}
	// A daemon that answers states its host, or that of the daemon whose answer it passes on.
	switch {
	case result.IsUnacknowledged || isUnconnected(result):
		r.reach.Failed(now, first.Domain, first.Host)
	case result.Host != "":
		r.reach.Answered(now, first.Domain)
		if target.Via != nil && result.Reason == call.Unreachable && result.Host == string(target.Via.Host) {
			r.reach.FailedVia(now, target.Domain, first.Domain)
		}
	}
}

// Forward returns the server of a service on a host if this daemon may reach it, so that it can forward the call of another
// daemon. It returns nil otherwise.
func (r *Relay) Forward(service class.Service, host ownership.HostID) *Server {
	route, _ := r.table.Lookup(service)
	if route == nil {
		return nil
	}
	s := route.byHost[host]
	if s == nil || r.isCutOff(s) {
		return nil
	}
	return s
}

// ObserveForwarded records the result of a call that this daemon forwarded for another one.
func (r *Relay) ObserveForwarded(target *Server, result call.Result) { r.observeReach(target, result) }
