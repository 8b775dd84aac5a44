package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Host is the known state of one host of the mesh.
type Host struct {
	Presence
	// IsRegistered reports whether the store has the presence of the host. Version is the revision at which that last
	// changed.
	IsRegistered bool
	Version      Version
	// Announcement is the latest announcement, received at AnnouncedAt. It is valid only while IsAnnounced is set.
	Announcement Announcement
	AnnouncedAt  ownership.Instant
	IsAnnounced  bool
}

//go:generate go tool stringer -type=ApplyResult -linecomment

// ApplyResult is the effect of an announcement on the known state of its host.
type ApplyResult int

const (
	// Stale means that a newer announcement is known.
	Stale ApplyResult = iota // stale
	// Repeated means that nothing is new that affects routes; the load and the time may be.
	Repeated // repeated
	// Changed means that routes may have to change.
	Changed // changed
)

// Roster holds the hosts of the mesh, combined from the presences in the store and the announcements of other daemons.
// It is not safe for concurrent use.
type Roster struct {
	// announcementTTL is how long an announcement is valid.
	announcementTTL time.Duration
	hosts           map[ownership.HostID]*Host
	// sorted caches the result of Hosts, and canUnpack that of CanUnpack. Sorted is nil after a change.
	sorted    []*Host
	canUnpack bool
}

// NewRoster returns an empty roster. An announcement is valid for the given time after it was received.
func NewRoster(ttl time.Duration) *Roster {
	return &Roster{announcementTTL: ttl, hosts: map[ownership.HostID]*Host{}}
}

// SetAnnouncementTTL changes how long announcements are valid.
func (r *Roster) SetAnnouncementTTL(ttl time.Duration) { r.announcementTTL = ttl }

func (r *Roster) ensureHost(id ownership.HostID) *Host {
	h := r.hosts[id]
	if h == nil {
		h = &Host{Presence: Presence{Host: id}}
		r.hosts[id] = h
	}
	return h
}

// Register applies the presence of a host.
func (r *Roster) Register(p Presence, version Version) {
	h := r.ensureHost(p.Host)
	if version <= h.Version {
		return
	}
	h.Presence, h.Version, h.IsRegistered = p, version, true
	r.sorted = nil
}

// Unregister records that the store no longer has the presence of a host. The host remains known while its
// announcements are valid.
func (r *Roster) Unregister(id ownership.HostID, version Version) {
	h := r.hosts[id]
	if h == nil || version <= h.Version {
		return
	}
	h.Version, h.IsRegistered = version, false
	r.sorted = nil
}

// ApplyAnnouncement applies an announcement and returns its effect.
func (r *Roster) ApplyAnnouncement(now ownership.Instant, a Announcement) ApplyResult {
	h := r.ensureHost(a.Host)
	known := h.Announcement
	if !a.isNewer(known) {
		return Stale
	}
	wasAnnounced := h.IsAnnounced
	h.Announcement, h.AnnouncedAt, h.IsAnnounced = a, now, true
	if wasAnnounced && a.isSameRouting(known) {
		return Repeated
	}
	r.sorted = nil
	return Changed
}

// Expire invalidates announcements that are too old, and removes hosts that have neither a presence nor a valid
// announcement. It returns the hosts whose announcement it invalidated.
func (r *Roster) Expire(now ownership.Instant) []Host {
	var silent []Host
	for id, h := range r.hosts {
		if h.IsAnnounced && now.Sub(h.AnnouncedAt) > r.announcementTTL {
			h.IsAnnounced = false
			r.sorted = nil
			silent = append(silent, *h)
		}
		if !h.IsAnnounced && !h.IsRegistered && now.Sub(h.AnnouncedAt) > hostRetention {
			delete(r.hosts, id)
			r.sorted = nil
		}
	}
	return silent
}

// hostRetention is how long a host without a presence is remembered after its last announcement arrived, so that a late
// announcement of it is not taken for an update.
const hostRetention = 30 * time.Second

// Get returns the known state of a host.
func (r *Roster) Get(id ownership.HostID) (Host, bool) {
	h := r.hosts[id]
	if h == nil {
		return Host{}, false
	}
	return *h, true
}

// Hosts returns the registered hosts, and those whose presence the store has lost while their announcements are valid,
// ordered by host ID. Of several hosts with the same hop address, only the one that registered last is returned,
// if any of them is registered.
func (r *Roster) Hosts() []*Host {
	if r.sorted != nil {
		return r.sorted
	}
	newestVersion := map[string]Version{}
	for _, h := range r.hosts {
		if h.IsRegistered {
			newestVersion[h.HopAddress] = max(newestVersion[h.HopAddress], h.Version)
		}
	}
	r.sorted, r.canUnpack = []*Host{}, true
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		h := r.hosts[id]
		isReplaced := h.Version < newestVersion[h.HopAddress] || !h.IsRegistered && newestVersion[h.HopAddress] > 0
		if h.HopAddress != "" && (h.IsRegistered || h.IsAnnounced) && !isReplaced {
			r.sorted = append(r.sorted, h)
			r.canUnpack = r.canUnpack && h.PackedFormat >= PackedFormat
		}
	}
	return r.sorted
}

// CanUnpack reports whether all hosts read packed announcements.
func (r *Roster) CanUnpack() bool {
	r.Hosts()
	return r.canUnpack
}
