package deployment

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// noticeGrace is how long after a server first stated a rate limit its requests are not counted.
	noticeGrace = 3 * time.Second
	// rateWindow is the time over which requests are counted. In each one a server may get rateTolerance times what its
	// limit permits, and rateSlack requests more.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// notices is what a stand-in server states about itself in its responses, with the check that it is heeded.
type notices struct {
	instance ownership.Instance
	checker  *InvariantChecker

	mu sync.Mutex
	// perSecond is the stated rate limit, or zero for none, and limitedSince the time of the first request after it was
	// set. Arrivals holds the times of the requests of the last rateWindow.
	perSecond    float64
	limitedSince time.Time
	arrivals     []time.Time
	isLeaving    bool
	// leavingSince is the time of the first response that stated that the server is leaving.
	leavingSince time.Time
}

// setRateLimit sets the rate limit in requests per second. Zero ends it.
func (n *notices) setRateLimit(perSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.perSecond, n.limitedSince = perSecond, time.Time{}
}

// leave makes the server state in its responses, and nowhere else, that it is leaving.
func (n *notices) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLeaving = true
}

// state sets the headers of the response to a request, and checks that the request may reach the server.
func (n *notices) state(id string, header http.Header, names call.HeaderNames) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.perSecond > 0 {
		header.Set(names.RateLimit, strconv.FormatFloat(n.perSecond, 'f', -1, 64))
		n.countArrival(id, now)
	}
	if !n.isLeaving {
		return
	}
	header.Set(names.Leaving, call.LeavingValue)
	if n.leavingSince.IsZero() {
		n.leavingSince = now
	}
	n.checker.checkDrainTime(id, n.instance, n.leavingSince, "it stated that it is leaving")
}

// countArrival counts a request and reports a violation if the last rateWindow has too many.
func (n *notices) countArrival(id string, now time.Time) {
	if n.limitedSince.IsZero() {
		n.limitedSince = now
	}
	countedFrom := now.Add(-rateWindow)
	if begin := n.limitedSince.Add(noticeGrace); countedFrom.Before(begin) {
		countedFrom = begin
	}
	n.arrivals = append(n.arrivals, now)
	for len(n.arrivals) > 0 && n.arrivals[0].Before(countedFrom) {
		n.arrivals = n.arrivals[1:]
	}
	permitted := rateTolerance*rateWindow.Seconds()*n.perSecond + rateSlack
	if float64(len(n.arrivals)) > permitted {
		n.checker.ReportViolation("request %s is number %d in %s at %s, which accepts %g per second",
			id, len(n.arrivals), rateWindow, n.instance, n.perSecond)
	}
}
