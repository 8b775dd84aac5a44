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
	push := func(ownership.Instant) { d.control.reportedRequests[report.Request] = true }
	select {
	case d.control.inbox <- push:
	default: // the inbox is full; digests spread the report later
	}
}

// pushReports sends the reports about all requests for which there are new ones to the other daemons, in one update: a
// crash leads to a report about each request that was running. The earlier reports go along, since one lost message must
// not hide a crash.
func (c *control) pushReports() {
	if len(c.reportedRequests) == 0 {
		return
	}
	var update peer.Update
	for request := range c.reportedRequests {
		update.Reports = append(update.Reports, c.daemon.quarantine.ReportsOf(request)...)
	}
	clear(c.reportedRequests)
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
