package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// Status implements operator.Daemon. It may be called from any goroutine.
func (c *control) Status(ctx context.Context) (operator.Status, error) {
	answer := make(chan operator.Status, 1)
	c.post(func(now time.Time) { answer <- c.status(now) })
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return operator.Status{}, ctx.Err()
	}
}

func (c *control) status(now time.Time) operator.Status {
	s := operator.Status{
		Member:        c.self.String(),
		FailureDomain: string(c.settings.FailureDomain),
		IsReady:       c.server.isReady,
		Config:        c.config.Revision,
		Calls:         c.gate.State(),
		Witnesses:     []string{},
		Members:       c.memberStatuses(),
	}
	if c.witness != nil {
		s.VouchesFor = c.witness.Vouched(now)
	}
	if c.machine == nil {
		return s
	}
	s.Service = c.service()
	known := c.machine.Known().Record
	if known == nil {
		return s
	}
	s.Generation = uint64(known.Generation)
	entry := known.Find(c.self)
	if entry == nil {
		return s
	}
	s.IsMember = true
	s.Slots = len(known.SlotsOf(c.self))
	s.LeaseMS = max(0, c.machine.LeaseEnd(now).Sub(now).Milliseconds())
	for _, witness := range entry.Witnesses {
		s.Witnesses = append(s.Witnesses, witness.String())
	}
	return s
}

func (c *control) memberStatuses() []operator.MemberStatus {
	members := []operator.MemberStatus{}
	for service, v := range c.records {
		for _, m := range v.Record.Members {
			members = append(members, operator.MemberStatus{
				Member:        m.Ref.String(),
				Service:       service,
				FailureDomain: string(m.Domain),
				State:         m.State.String(),
				Slots:         len(v.Record.SlotsOf(m.Ref)),
				Operator:      m.Operator,
			})
		}
	}
	slices.SortFunc(members, func(a, b operator.MemberStatus) int { return strings.Compare(a.Member, b.Member) })
	return members
}

// Timeline implements operator.Daemon. It may be called from any goroutine.
func (c *control) Timeline(after timeline.Stamp) []timeline.Event { return c.ring.Since(after) }

// Drain implements operator.Daemon. It may be called from any goroutine.
func (c *control) Drain() { c.post(c.leave) }

// Abandon implements operator.Daemon. It may be called from any goroutine.
func (c *control) Abandon(member ownership.Ref) {
	c.post(func(now time.Time) {
		c.event(timeline.Ownership, "abandoned", member.String())
		if c.machine == nil {
			return
		}
		c.carryOut(now, c.machine.Abandon(now, member), "")
		c.publish(now)
	})
}

// Apply implements operator.Daemon. It may be called from any goroutine.
func (c *control) Apply(ctx context.Context, based class.Revision, author, text string) (operator.Change, error) {
	accepted, err := operator.NewEditor(c.store, c.clock).Apply(ctx, based, author, text)
	if err != nil {
		return operator.Change{}, err
	}
	c.post(func(now time.Time) { c.accept(now, accepted.Entry) })
	return accepted.Change, nil
}

// History implements operator.Daemon. It may be called from any goroutine.
func (c *control) History(ctx context.Context) ([]operator.Change, error) {
	return operator.NewEditor(c.store, c.clock).History(ctx)
}

// Metrics implements operator.Daemon.
func (c *control) Metrics() metrics.Registry { return c.registry }
