package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Host is what is known of one host of the mesh.
type Host struct {
	Presence
	// IsRegistered says that the store has its presence, and Version since which revision.
	IsRegistered bool
	Version      Version
	// Announcement is the newest one, heard at HeardAt. It counts only while IsHeard.
	Announcement Announcement
	HeardAt      ownership.Instant
	IsHeard      bool
}

//go:generate go tool stringer -type=ApplyResult -linecomment

// ApplyResult says what an announcement changed.
type ApplyResult int

const (
	// Stale means that a newer announcement is known.
	Stale ApplyResult = iota // stale
	// Repeated means that only the load and the time are new.
	Repeated // repeated
	// Changed means that traffic may have to go elsewhere.
	Changed // changed
)

// Roster holds the hosts of the mesh, read once from what the store and other daemons say. It is not safe for concurrent
// use.
type Roster struct {
	// fresh is how long an announcement counts.
	fresh time.Duration
	hosts map[ownership.HostID]*Host
	// sorted caches the order of Hosts; it is nil after a change.
	sorted []*Host
}

// NewRoster returns an empty roster. Announcements count for a while after they were heard.
func NewRoster(fresh time.Duration) *Roster {
	return &Roster{fresh: fresh, hosts: map[ownership.HostID]*Host{}}
}

// SetFresh changes how long announcements count.
func (r *Roster) SetFresh(fresh time.Duration) { r.fresh = fresh }

func (r *Roster) host(id ownership.HostID) *Host {
	h := r.hosts[id]
	if h == nil {
		h = &Host{Presence: Presence{Host: id}}
		r.hosts[id] = h
	}
	return h
}

// Register takes in the presence of a host.
func (r *Roster) Register(p Presence, version Version) {
	h := r.host(p.Host)
	if version <= h.Version {
		return
	}
	h.Presence, h.Version, h.IsRegistered = p, version, true
	r.sorted = nil
}

// Unregister takes note that the store has no presence of a host any more. The host stays known while it is heard of.
func (r *Roster) Unregister(id ownership.HostID, version Version) {
	h := r.hosts[id]
	if h == nil || version <= h.Version {
		return
	}
	h.Version, h.IsRegistered = version, false
	r.sorted = nil
}

// Hear takes in an announcement.
func (r *Roster) Hear(now ownership.Instant, a Announcement) ApplyResult {
	h := r.host(a.Host)
	known := h.Announcement
	if !a.isNewer(known) {
		return Stale
	}
	wasHeard := h.IsHeard
	h.Announcement, h.HeardAt, h.IsHeard = a, now, true
	if wasHeard && a.isSameForRoutes(known) {
		return Repeated
	}
	r.sorted = nil
	return Changed
}

// Expire takes out the announcements that are too old, and forgets hosts that are neither registered nor heard of. It
// returns the hosts that fell silent.
func (r *Roster) Expire(now ownership.Instant) []Host {
	var silent []Host
	for id, h := range r.hosts {
		if h.IsHeard && now.Sub(h.HeardAt) > r.fresh {
			h.IsHeard = false
			r.sorted = nil
			silent = append(silent, *h)
		}
		if !h.IsHeard && !h.IsRegistered && now.Sub(h.HeardAt) > forgetAfter {
			delete(r.hosts, id)
			r.sorted = nil
		}
	}
	return silent
}

// forgetAfter is how long a host that is gone is remembered, so that a late announcement of it is not taken for news.
const forgetAfter = 30 * time.Second

// Get returns what is known of a host.
func (r *Roster) Get(id ownership.HostID) (Host, bool) {
	h := r.hosts[id]
	if h == nil {
		return Host{}, false
	}
	return *h, true
}

// Hosts returns the registered hosts, and those whose presence the store has lost while they are still heard of, in order
// of their names. Of several hosts with one address, the last that registered has it.
func (r *Roster) Hosts() []*Host {
	if r.sorted != nil {
		return r.sorted
	}
	newest := map[string]Version{}
	for _, h := range r.hosts {
		if h.IsRegistered {
			newest[h.Hop] = max(newest[h.Hop], h.Version)
		}
	}
	r.sorted = []*Host{}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		h := r.hosts[id]
		isReplaced := h.Version < newest[h.Hop] || !h.IsRegistered && newest[h.Hop] > 0
		if h.Hop != "" && (h.IsRegistered || h.IsHeard) && !isReplaced {
			r.sorted = append(r.sorted, h)
		}
	}
	return r.sorted
}
