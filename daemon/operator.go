package daemon

import (
	"context"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

func (d *Daemon) addOperator(_ context.Context, group *run.Group) error {
	newHandler := operator.Handler
	if d.settings.Profile.Enabled {
		newHandler = operator.HandlerWithProfiles
	}
	handler := newHandler(d, func(err error) { d.observer.inputRejected("operator", err) })
	return d.serve(group, "operator", d.settings.OperatorAddress(), handler)
}

// Timeline implements operator.Daemon.
func (d *Daemon) Timeline(after timeline.Timestamp) []timeline.Event { return d.events.Since(after) }

// Metrics implements operator.Daemon.
func (d *Daemon) Metrics() metrics.Registry { return d.registry }

// Status implements operator.Daemon.
func (d *Daemon) Status(ctx context.Context) (operator.Status, error) {
	result := make(chan operator.Status, 1)
	d.control.post(ctx, func(now ownership.Instant) { result <- d.control.status(now) })
	select {
	case s := <-result:
		return s, nil
	case <-ctx.Done():
		return operator.Status{}, ctx.Err()
	}
}

func (c *control) status(now ownership.Instant) operator.Status {
	s := operator.Status{
		Host:          string(c.self),
		FailureDomain: string(c.daemon.settings.FailureDomain),
		Service:       c.service,
		Epoch:         uint64(c.epoch),
		Server:        c.server.state.String(),
		Instance:      c.server.heartbeat.Instance.String(),
		AuthorityMS:   c.machine.AuthorityUntil().Sub(now).Milliseconds(),
		Calls:         c.runner.State(),
		Rejections:    c.daemon.nesting.Rejections(),
	}
	for _, domain := range c.evacuation.tracker.Domains() {
		s.Evacuated = append(s.Evacuated, string(domain))
	}
	if c.config != nil {
		s.Config = c.config.Version
	}
	keyCounts := map[class.Service]map[ownership.HostID]int{}
	for service, record := range c.records {
		keys, _ := record.CountsByMember()
		keyCounts[service] = map[ownership.HostID]int{}
		for i, m := range record.Members {
			keyCounts[service][m.Host] = keys[i]
		}
	}
	if record, _ := c.machine.KnownRecord(); record != nil {
		s.Generation = uint64(record.Generation)
		s.Keys = keyCounts[c.service][c.self]
	}
	for _, h := range c.roster.Hosts() {
		s.Hosts = append(s.Hosts, operator.HostStatus{
			Host:          string(h.Host),
			Service:       h.Service,
			FailureDomain: string(h.Domain),
			IsUsable: c.isFresh(h) && h.Announcement.IsUsable && !h.Announcement.IsShuttingDown &&
				!c.evacuation.tracker.IsEvacuated(h.Domain),
			Keys:     keyCounts[h.Service][h.Host],
			Operator: h.OperatorAddress,
		})
	}
	return s
}
