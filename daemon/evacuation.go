package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/evacuation"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// messageTime is allowed for a message between daemons or a response of the store to arrive.
	messageTime = 100 * time.Millisecond
	// maxEvacuationWait bounds how long a daemon that starts uses no server because nobody has told it the evacuations. It is
	// reached only if the store does not answer for that long, and the daemons that do are of a version without evacuations.
	maxEvacuationWait = 3 * time.Second
	// evacuationReadsAlone is how many reads of the evacuations have to fail before a daemon that knows no other daemons
	// starts without them.
	evacuationReadsAlone = 2
	// evacuationsReadKey is the key of an entry that shows that its holder has read the evacuations, or has got them from a
	// daemon that has. It is sent only together with all evacuations that the sender knows.
	evacuationsReadKey = platform.EvacuationPrefix
)

// evacuationState is what the daemon knows of the evacuations of failure domains.
type evacuationState struct {
	tracker *evacuation.Tracker
	// isEnabled reports whether operators may evacuate failure domains of this deployment.
	isEnabled bool
	// isKnown is closed when the evacuations are known.
	isKnown chan struct{}
	// readRevision is the newest revision at which this daemon has read all evacuations.
	readRevision store.Revision
	// handoverAt is when this host starts to hand over its keys.
	handoverAt ownership.Instant
}

// newEvacuationState returns the state of a daemon that has not read the evacuations. If the bound is zero, the deployment
// has none, and there is nothing to read.
func newEvacuationState(bound time.Duration) evacuationState {
	s := evacuationState{tracker: evacuation.NewTracker(bound), isEnabled: bound > 0, isKnown: make(chan struct{})}
	if !s.isEnabled {
		s.tracker.Complete()
		close(s.isKnown)
	}
	return s
}

// readOperatorValues reads the configuration and the evacuations.
func (c *control) readOperatorValues(ctx context.Context) error {
	if err := c.readConfig(ctx); err != nil || !c.evacuation.isEnabled {
		return err
	}
	_, err := c.readValues(ctx, platform.EvacuationPrefix)
	return err
}

// readEvacuations reads the evacuations when the daemon starts. Other daemons are asked while the store does not answer.
func (c *control) readEvacuations() {
	if !c.evacuation.isEnabled {
		return
	}
	c.async(func(ctx context.Context) func(ownership.Instant) {
		startedAt := c.bootClock.Now()
		for failures := 1; ctx.Err() == nil; failures++ {
			if _, err := c.readValues(ctx, platform.EvacuationPrefix); err == nil {
				return nil
			}
			isDone := ask(ctx, c, func(now ownership.Instant) bool {
				peers := c.knownPeerAddresses()
				isAlone := len(peers) == 0 && failures >= evacuationReadsAlone
				switch {
				case c.evacuation.tracker.IsComplete():
				case isAlone || now.Sub(startedAt) > maxEvacuationWait:
					c.log.Warn("starting without the evacuations", "reason", "neither the store nor a daemon states them",
						"peers", len(peers), "waited_ms", now.Sub(startedAt).Milliseconds())
					c.evacuationsKnown("nobody")
				default:
					if len(peers) > 0 {
						c.pullNewer(peers[c.random.IntN(len(peers))])
					}
					return false
				}
				return true
			})
			if isDone {
				return nil
			}
			c.sleep(ctx, minStoreRetryDelay)
		}
		return nil
	})
}

// evacuationsRead records that this daemon has applied all evacuations at a revision of the store, which it requested at
// a time.
func (c *control) evacuationsRead(now, sentAt ownership.Instant, revision store.Revision) {
	c.evacuation.readRevision = max(c.evacuation.readRevision, revision)
	c.evacuation.tracker.Confirm(sentAt)
	c.evacuationsKnown("store")
	// All daemons give the entry the same version within an era, so that it does not make their digests differ.
	version := store.MustRevision(revision.Era(), 1)
	c.applyEntry(now, membership.Entry{Key: evacuationsReadKey, Version: membership.Version(version), IsDeleted: true})
}

// evacuationsKnown records that the evacuations are known.
func (c *control) evacuationsKnown(source string) {
	if c.evacuation.tracker.IsComplete() {
		return
	}
	c.evacuation.tracker.Complete()
	c.isDirty = true
	c.log.Info("evacuations known", "source", source, "evacuated", c.evacuation.tracker.Domains())
	close(c.evacuation.isKnown)
}

// withoutEndedEvacuation returns an entry, or its deletion if it is an old copy of an evacuation that was not in the store
// any more when this daemon read all of them.
func (c *control) withoutEndedEvacuation(e membership.Entry) membership.Entry {
	read := membership.Version(c.evacuation.readRevision)
	isEvacuation := strings.HasPrefix(e.Key, platform.EvacuationPrefix) && !e.IsDeleted
	if isEvacuation && e.Version <= read && e.Version > c.replica.Get(e.Key).Version {
		return membership.Entry{Key: e.Key, Version: read, IsDeleted: true}
	}
	return e
}

// decodeEvacuation returns the function that applies an evacuation or its end. The key alone decides, so an error about
// the value comes with such a function.
func (c *control) decodeEvacuation(
	domain ownership.FailureDomain, e membership.Entry,
) (func(now ownership.Instant), error) {
	switch {
	case domain == "" && e.IsDeleted: // evacuationsReadKey
		return func(ownership.Instant) { c.evacuationsKnown("daemon") }, nil
	case domain == "":
		return nil, &evacuation.KeyError{Key: e.Key}
	case e.IsDeleted:
		return func(now ownership.Instant) { c.endEvacuation(now, domain, e.Version) }, nil
	default:
		var value map[string]any
		var invalid error
		if err := json.Unmarshal(e.Data, &value); err != nil {
			invalid = &evacuation.ValueError{Domain: domain, Cause: err}
		}
		return func(now ownership.Instant) { c.startEvacuation(now, domain, e.Version) }, invalid
	}
}

func (c *control) startEvacuation(now ownership.Instant, domain ownership.FailureDomain, version membership.Version) {
	t := c.evacuation.tracker
	if !t.Start(now, domain) {
		return
	}
	isOwn := domain == c.daemon.settings.FailureDomain
	if isOwn {
		rank, count := c.handoverRank()
		c.evacuation.handoverAt = now.Add(evacuation.HandoverDelay(rank, count))
	}
	c.log.Warn("failure domain evacuated", "domain", domain, "revision", store.Revision(version).String(), "own", isOwn,
		"keys_served_ms", max(0, t.KeysUntil(domain).Sub(now).Milliseconds()), "at_start", !t.IsComplete())
	c.observer.counter("evacuation.started").inc()
	c.evacuationsChanged(now, isOwn)
}

func (c *control) endEvacuation(now ownership.Instant, domain ownership.FailureDomain, version membership.Version) {
	if !c.evacuation.tracker.End(domain) {
		return
	}
	isOwn := domain == c.daemon.settings.FailureDomain
	if isOwn {
		c.server.takenBackAt = now
		c.runner.SuspectRestart(c.server.heartbeat.Instance, "failure domain taken back")
	}
	c.log.Warn("failure domain taken back", "domain", domain, "revision", store.Revision(version).String(), "own", isOwn)
	c.observer.counter("evacuation.ended").inc()
	c.evacuationsChanged(now, isOwn)
}

// evacuationsChanged makes a change of the evacuations take effect.
func (c *control) evacuationsChanged(now ownership.Instant, isOwn bool) {
	c.isDirty = true
	metrics.GetOrRegisterGauge("evacuation.domains", c.observer.registry).Update(
		int64(len(c.evacuation.tracker.Domains())))
	if isOwn {
		c.announce(now)
	}
}

// handoverRank returns this host's index among the hosts of its service in evacuated failure domains, and their number.
func (c *control) handoverRank() (rank, count int) {
	for _, h := range c.roster.Hosts() {
		if serviceOf(h) != c.service || !c.evacuation.tracker.IsEvacuated(h.Domain) {
			continue
		}
		if h.Host < c.self {
			rank++
		}
		count++
	}
	return rank, count
}

// checkEvacuations makes the end of the time take effect in which the servers of an evacuated domain serve the keys that
// they still own, and reports evacuations of unknown domains.
func (c *control) checkEvacuations(now ownership.Instant) {
	for _, domain := range c.evacuation.tracker.Expire(now) {
		isOwn := domain == c.daemon.settings.FailureDomain
		c.log.Info("evacuated failure domain gets no more calls", "domain", domain, "own", isOwn)
		c.evacuationsChanged(now, isOwn)
	}
	hasHost := func(domain ownership.FailureDomain) bool {
		for _, h := range c.roster.Hosts() {
			if h.Domain == domain {
				return true
			}
		}
		return false
	}
	for _, domain := range c.evacuation.tracker.Unknown(now, hasHost) {
		c.observer.inputRejected("evacuation", &evacuation.UnknownDomainError{Domain: domain})
	}
}

// isEvacuated reports whether the failure domain of this host is evacuated.
func (c *control) isEvacuated() bool {
	return c.evacuation.tracker.IsEvacuated(c.daemon.settings.FailureDomain)
}

// mayUseDomain reports whether the servers of a failure domain may get calls for keys that they own.
func (c *control) mayUseDomain(now ownership.Instant, domain ownership.FailureDomain) bool {
	return c.evacuation.tracker.IsComplete() && c.evacuation.tracker.MayServeKeys(now, domain)
}

// limitAnnouncement restricts the announced state of the server to what the evacuations permit.
func (c *control) limitAnnouncement(now ownership.Instant, a *membership.Announcement) {
	isEvacuated := c.isEvacuated()
	a.IsUsable = a.IsUsable && c.mayUseDomain(now, c.daemon.settings.FailureDomain) && (!isEvacuated || c.isKeyed())
	a.IsReady = a.IsReady && c.evacuation.tracker.IsComplete() && !isEvacuated
}

// evacuationBeacon returns the part of a beacon that confirms the evacuations, or nil if they are not known.
func (c *control) evacuationBeacon(now ownership.Instant) *peer.EvacuationBeacon {
	t := c.evacuation.tracker
	if !c.evacuation.isEnabled || t.ConfirmedAt() == 0 {
		return nil
	}
	return &peer.EvacuationBeacon{
		Digest: c.replica.DigestOf(platform.EvacuationPrefix),
		AgeMS:  now.Sub(t.ConfirmedAt()).Milliseconds(),
	}
}

// confirmEvacuations applies the part of a beacon about evacuations. If they differ from the known ones, it sends these to
// the sender of the beacon and returns false: the sender may have missed a deletion.
func (c *control) confirmEvacuations(now ownership.Instant, from string, b *peer.EvacuationBeacon) bool {
	if b == nil {
		return true
	}
	if b.Digest != c.replica.DigestOf(platform.EvacuationPrefix) {
		c.sendEvacuations(from)
		return false
	}
	c.evacuation.tracker.Confirm(now.Add(-messageTime - time.Duration(b.AgeMS)*time.Millisecond))
	return true
}

// exchangeEvacuations sends the known evacuations to a daemon and fetches those that it knows.
func (c *control) exchangeEvacuations(with string) {
	c.sendEvacuations(with)
	c.pullNewer(with)
}

// sendEvacuations sends the known evacuations and their ends to a daemon.
func (c *control) sendEvacuations(to string) {
	if entries := c.replica.ListAll(platform.EvacuationPrefix); len(entries) > 0 {
		c.push([]string{to}, peer.Update{Entries: entries})
	}
}
