package daemon

import (
	"context"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/peer"
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// reportExpiryInterval is how often reports that have expired are dropped.
const reportExpiryInterval = time.Second

// crashReported handles a new report of the local runner. It may be called from any goroutine and does not block.
func (d *Daemon) crashReported(report quarantine.Report, request class.RequestID) {
	d.observer.crashReported(report, request, d.quarantine.Verdict(report.Request))
	push := func(ownership.Instant) {
		// The earlier reports go along, since one lost message must not hide a crash.
		d.control.pushReports(d.quarantine.ReportsOf(report.Request))
	}
	select {
	case d.control.inbox <- push:
	default: // the inbox is full; digests spread the report later
	}
}

// pushReports sends reports to the other daemons.
func (c *control) pushReports(reports []quarantine.Report) {
	update := peer.Update{Reports: reports}
	c.pushLocal(update)
	c.pushRemote(update)
}

// applyReports applies the reports of other daemons and returns those that were new.
func (c *control) applyReports(reports []quarantine.Report) []quarantine.Report {
	var applied []quarantine.Report
	for _, r := range reports {
		if c.daemon.quarantine.Add(r) {
			applied = append(applied, r)
			c.observer.reportReceived(r, c.daemon.quarantine.Verdict(r.Request))
		}
	}
	return applied
}

// Reports implements peer.Handler.
func (g gossipHandler) Reports() []quarantine.Report { return g.control.daemon.quarantine.Reports() }

// pullReports fetches the reports of a peer. Only one such call runs at a time.
func (c *control) pullReports(from string) {
	if c.isPullingReports {
		return
	}
	c.isPullingReports = true
	c.async(func(ctx context.Context) func(ownership.Instant) {
		reports, err := peer.FetchReports(ctx, from)
		return func(ownership.Instant) {
			c.isPullingReports = false
			if err != nil {
				c.log.Debug("reports about crashes not fetched from peer", "peer", from, "error", err)
				return
			}
			c.applyReports(reports)
		}
	})
}

// expireReports drops expired reports.
func (c *control) expireReports(now ownership.Instant) {
	if now >= c.nextReportExpiryAt {
		c.nextReportExpiryAt = now.Add(reportExpiryInterval)
		c.daemon.quarantine.Expire()
	}
}
