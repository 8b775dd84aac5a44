package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// capacityInterval is the interval at which the capacities of all servers are estimated.
	capacityInterval = 250 * time.Millisecond
	// capacityLogRatio is the change of the capacity of the local server that is logged.
	capacityLogRatio = 1.2
	// shapeSmoothing is the weight of one interval in the moving average of the load by key that shows how the load is
	// divided among the keys. It covers about five seconds, because most keys are called only every few seconds.
	shapeSmoothing = 0.1
	// defaultRunTime is assumed until run times have been measured.
	defaultRunTime = 100 * time.Millisecond
)

// capacityState holds what is known of the capacities of servers. It is used only while the configuration is load-aware.
type capacityState struct {
	updatedAt  ownership.Instant
	estimators map[class.Service]*capacity.Estimator[ownership.HostID]
	announced  map[ownership.HostID]announcedRunTimes
	// logged is the last logged capacity of the local server.
	logged float64
}

// announcedRunTimes holds the last run times of a host that could be decoded, and the last text.
type announcedRunTimes struct {
	text     string
	runTimes capacity.RunTimes
}

func newCapacityState() capacityState {
	return capacityState{
		estimators: map[class.Service]*capacity.Estimator[ownership.HostID]{},
		announced:  map[ownership.HostID]announcedRunTimes{},
		logged:     1,
	}
}

// isLoadAware reports whether the configuration asks for load-aware decisions.
func (c *control) isLoadAware() bool { return c.config != nil && c.config.IsLoadAware() }

// updateCapacities estimates the capacities of the servers of all services from what their daemons announced.
func (c *control) updateCapacities(now ownership.Instant) {
	s := &c.capacities
	if !c.isLoadAware() || s.updatedAt != 0 && now.Sub(s.updatedAt) < capacityInterval {
		return
	}
	s.updatedAt = now
	reports := map[class.Service][]capacity.Report[ownership.HostID]{}
	announced := make(map[ownership.HostID]announcedRunTimes, len(s.announced))
	for _, h := range c.roster.Hosts() {
		known := c.decodeRunTimes(h)
		announced[h.Host] = known
		service := serviceOf(h)
		reports[service] = append(reports[service], capacity.Report[ownership.HostID]{
			Host: h.Host, RunTimes: known.runTimes, Age: now.Sub(h.AnnouncedAt),
		})
	}
	s.announced = announced
	for service, serviceReports := range reports {
		if s.estimators[service] == nil {
			s.estimators[service] = capacity.NewEstimator[ownership.HostID]()
		}
		s.estimators[service].Update(c.clock.Now(), serviceReports)
	}
	c.logCapacity()
	c.reportServers(now)
}

// reportServers passes what was announced of all servers to the relay, which chooses servers for calls without a key by it.
func (c *control) reportServers(now ownership.Instant) {
	hosts := c.roster.Hosts()
	reports := make([]caller.ServerReport, 0, len(hosts))
	for _, h := range hosts {
		report := caller.ServerReport{
			Host:     h.Host,
			Service:  serviceOf(h),
			Domain:   h.Domain,
			Instance: h.Announcement.Instance,
			Slots:    h.Announcement.Concurrency,
			Capacity: c.capacityOf(h),
		}
		if c.isFresh(h) && h.Announcement.IsUsable {
			report.RunTimes = c.capacities.announced[h.Host].runTimes
			report.Load, report.AnnouncedAt = h.Announcement.Load, clockTime(c.clock, now, h.AnnouncedAt)
		}
		reports = append(reports, report)
	}
	c.relay.SetServerReports(reports)
}

// decodeRunTimes returns the run times that a host announced. If they cannot be decoded, the last good ones stay in
// effect.
func (c *control) decodeRunTimes(h *membership.Host) announcedRunTimes {
	known := c.capacities.announced[h.Host]
	if text := h.Announcement.RunTimes; text != known.text {
		known.text = text
		runTimes, err := capacity.DecodeRunTimes(text)
		if err != nil {
			c.observer.inputRejected("announcement of "+string(h.Host), err)
			return known
		}
		known.runTimes = runTimes
	}
	return known
}

// capacityOf returns the relative capacity of a host's backend server, or zero if the configuration is not load-aware.
func (c *control) capacityOf(h *membership.Host) float64 {
	if !c.isLoadAware() {
		return 0
	}
	if estimator := c.capacities.estimators[serviceOf(h)]; estimator != nil {
		return estimator.Capacity(h.Host)
	}
	return 1
}

// logCapacity logs the capacity of the local server when it has changed by a fifth.
func (c *control) logCapacity() {
	estimator := c.capacities.estimators[c.service]
	if estimator == nil {
		return
	}
	own, before := estimator.Capacity(c.self), c.capacities.logged
	metrics.GetOrRegisterGaugeFloat64("capacity.local", c.observer.registry).Update(own)
	if own < before*capacityLogRatio && own > before/capacityLogRatio {
		return
	}
	c.capacities.logged = own
	c.log.Info("capacity of the local server changed", "from", before, "to", own,
		"run_times", c.capacities.announced[c.self].text)
}

// ownRunTimes returns the run times of the local server for an announcement, or an empty text if the configuration is
// not load-aware or the server is cold.
func (c *control) ownRunTimes(now ownership.Instant) string {
	if !c.isLoadAware() {
		return ""
	}
	if c.server.warmupUntil > now {
		c.runner.ResetRunTimes()
		return ""
	}
	return c.runner.RunTimes().Encode()
}

// measureShape updates how the load is divided among the keys, with the demand of an interval.
func (c *control) measureShape(demand map[class.Key]time.Duration, elapsed time.Duration) {
	m := &c.loadMeter
	if !c.isLoadAware() {
		clear(m.shape)
		return
	}
	for key, load := range m.shape {
		if load *= 1 - shapeSmoothing; load < minKeyLoad {
			delete(m.shape, key)
		} else {
			m.shape[key] = load
		}
	}
	for key, runTime := range demand {
		m.shape[key] += shapeSmoothing * runTime.Seconds() / elapsed.Seconds()
	}
	// One call adds shapeSmoothing*runTime/elapsed, which then decays. The quantum is the mean of that, weighted by
	// itself.
	runTime := c.runner.RunTimes().Mean(defaultRunTime)
	c.machine.SetShape(m.shape, runTime.Seconds()*shapeSmoothing/(elapsed.Seconds()*(2-shapeSmoothing)))
}
