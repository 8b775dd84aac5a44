package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// minUnreachableHosts is the number of hosts of a failure domain that have to be found unreachable, without any sign of
	// the domain in between, before the domain counts as unreachable. One host may have ended.
	minUnreachableHosts = 2
	// minUnreachableShare is the share of the hosts of a large domain that have to be found unreachable. On hosts that are
	// short of processor time, two connections in a row time out while others of the domain are served.
	minUnreachableShare = 0.25
	// evidenceTTL is how long a failed connection or an answer counts. It covers two announcements, which are 900 ms
	// apart in a small mesh, so that a daemon without calls learns from gossip.
	evidenceTTL = 3 * time.Second
	// reachProbeInterval is how often an unreachable domain is probed.
	reachProbeInterval = time.Second
	// viaFailureTTL is how long calls are not relayed through a domain that did not reach their destination either.
	viaFailureTTL = time.Second
)

// Reach is what a daemon knows of which failure domains it can reach. It has no clock and does no I/O. It is safe for
// concurrent use.
type Reach struct {
	own      ownership.FailureDomain
	onChange func(ReachChange)

	mu      sync.Mutex
	domains map[ownership.FailureDomain]*domainReach
	// sizes is the number of hosts of each domain, as far as it is known.
	sizes map[ownership.FailureDomain]int
}

// domainReach is what is known of one domain.
type domainReach struct {
	// failedHosts maps the hosts to which no connection was found since the last sign of the domain to the time.
	failedHosts map[ownership.HostID]time.Time
	// aliveAt is when a daemon of the domain last answered or sent something.
	aliveAt time.Time
	// unreachableSince is zero if the domain is reachable.
	unreachableSince time.Time
	nextProbeAt      time.Time
	// failedVia maps the domains through which the domain was not reached to the time.
	failedVia map[ownership.FailureDomain]time.Time
}

// ReachChange reports that a failure domain has become unreachable or reachable, for logs and metrics.
type ReachChange struct {
	Domain        ownership.FailureDomain
	IsUnreachable bool
	// Hosts are those to which no connection was found, if the domain has become unreachable.
	Hosts []ownership.HostID
	// After is how long the domain was unreachable, if it has become reachable.
	After time.Duration
}

// NewReach returns the knowledge of a daemon in a failure domain, to which all domains are reachable. It calls onChange,
// which must not block or use the Reach, for each change.
func NewReach(own ownership.FailureDomain, onChange func(ReachChange)) *Reach {
	return &Reach{own: own, onChange: onChange, domains: map[ownership.FailureDomain]*domainReach{}}
}

// SetSizes sets the number of hosts of each domain.
func (r *Reach) SetSizes(sizes map[ownership.FailureDomain]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sizes = sizes
}

// minFailedHosts returns how many hosts of a domain have to be found unreachable.
func (r *Reach) minFailedHosts(domain ownership.FailureDomain) int {
	return max(minUnreachableHosts, int(minUnreachableShare*float64(r.sizes[domain])))
}

func (r *Reach) domain(name ownership.FailureDomain) *domainReach {
	d := r.domains[name]
	if d == nil {
		d = &domainReach{
			failedHosts: map[ownership.HostID]time.Time{},
			failedVia:   map[ownership.FailureDomain]time.Time{},
		}
		r.domains[name] = d
	}
	return d
}

// Failed records that no connection to a host was found. The domain of the host becomes unreachable if that is true of
// several of its hosts while another domain is alive: otherwise this host itself is cut off.
func (r *Reach) Failed(now time.Time, domain ownership.FailureDomain, host ownership.HostID) {
	if domain == r.own {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domain(domain)
	d.failedHosts[host] = now
	for h, at := range d.failedHosts {
		if now.Sub(at) > evidenceTTL {
			delete(d.failedHosts, h)
		}
	}
	if !d.unreachableSince.IsZero() || len(d.failedHosts) < r.minFailedHosts(domain) || !r.isAnotherAlive(now, domain) {
		return
	}
	d.unreachableSince, d.nextProbeAt = now, now.Add(reachProbeInterval)
	change := ReachChange{Domain: domain, IsUnreachable: true}
	for h := range d.failedHosts {
		change.Hosts = append(change.Hosts, h)
	}
	slices.Sort(change.Hosts)
	r.onChange(change)
}

// isAnotherAlive reports whether a domain other than this daemon's and the given one is alive.
func (r *Reach) isAnotherAlive(now time.Time, except ownership.FailureDomain) bool {
	for name, d := range r.domains {
		if name != r.own && name != except && d.isAlive(now) {
			return true
		}
	}
	return false
}

// isAlive reports whether a domain is reachable and has given a sign lately.
func (d *domainReach) isAlive(now time.Time) bool {
	return d.unreachableSince.IsZero() && !d.aliveAt.IsZero() && now.Sub(d.aliveAt) <= evidenceTTL
}

// Answered records that a daemon of a domain answered a request of this daemon. The domain is reachable.
func (r *Reach) Answered(now time.Time, domain ownership.FailureDomain) {
	if domain == r.own {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domain(domain)
	d.aliveAt = now
	clear(d.failedHosts)
	if d.unreachableSince.IsZero() {
		return
	}
	change := ReachChange{Domain: domain, After: now.Sub(d.unreachableSince)}
	d.unreachableSince = time.Time{}
	clear(d.failedVia)
	r.onChange(change)
}

// Heard records that a daemon of a domain sent this daemon a message. That does not make an unreachable domain reachable:
// connections that were opened before may still bring messages.
func (r *Reach) Heard(now time.Time, domain ownership.FailureDomain) {
	if domain == r.own {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domain(domain).aliveAt = now
}

// IsUnreachable reports whether a domain is unreachable.
func (r *Reach) IsUnreachable(domain ownership.FailureDomain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domains[domain]
	return d != nil && !d.unreachableSince.IsZero()
}

// Unreachable returns the unreachable domains, in order.
func (r *Reach) Unreachable() []ownership.FailureDomain {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []ownership.FailureDomain
	for name, d := range r.domains {
		if !d.unreachableSince.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CanRelay reports whether calls to a domain may be relayed through another one: a third domain that is alive and has
// not failed to reach the destination lately.
func (r *Reach) CanRelay(now time.Time, domain, via ownership.FailureDomain) bool {
	if via == r.own || via == domain {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	third := r.domains[via]
	if third == nil || !third.isAlive(now) {
		return false
	}
	failedAt, hasFailed := r.domain(domain).failedVia[via]
	return !hasFailed || now.Sub(failedAt) > viaFailureTTL
}

// FailedVia records that a daemon of another domain did not reach a domain either.
func (r *Reach) FailedVia(now time.Time, domain, via ownership.FailureDomain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domain(domain).failedVia[via] = now
}

// TakeProbes returns the unreachable domains whose next probe is due.
func (r *Reach) TakeProbes(now time.Time) []ownership.FailureDomain {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []ownership.FailureDomain
	for name, d := range r.domains {
		if !d.unreachableSince.IsZero() && !now.Before(d.nextProbeAt) {
			d.nextProbeAt = now.Add(reachProbeInterval)
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// SetDomainSizes sets the number of hosts of each failure domain.
func (r *Relay) SetDomainSizes(sizes map[ownership.FailureDomain]int) {
	if reach := r.ActiveReach(); reach != nil {
		reach.SetSizes(sizes)
	}
}
