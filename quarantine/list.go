// Package quarantine tells which requests are likely to crash the backend server that runs them, and holds them back.
//
// A daemon that finds that its server ended while requests were running reports each of them. The reports of all daemons
// together decide: a request that was running in one crash is suspected, and only one suspected request at a time runs on
// a server, so that the next crash has one cause. A request that was running in several crashes is held back. An answer
// from any server clears a request, because a request that crashes servers gets none.
package quarantine

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

const (
	// reportTTL is how long a crash counts against a request, and the time for which a request is held back after
	// holdCrashes or more crashes.
	reportTTL = 10 * time.Minute
	// probationCrashes is the number of crashes from which a request is held back for probationTime, since the last one.
	// It may then run once more: it may have been running beside the cause of both crashes.
	probationCrashes = 2
	probationTime    = 30 * time.Second
	// holdCrashes is the number of crashes from which a request is held back for reportTTL, unless all of them happened at
	// about the same time.
	holdCrashes = 3
	// roundGap is the time between two crashes from which they belong to different rounds. The crashes of one round may have
	// a common cause, such as a loss of power, beside which a popular request was running on all servers. Only another
	// round, after probationTime, shows that the request is the cause.
	roundGap = 10 * time.Second
	// maxClockSkew is how far the clock of a reporting host may be ahead of the local one.
	maxClockSkew = time.Minute
	// maxRequests bounds the number of requests with reports.
	maxRequests = 1024
	// maxReports bounds the number of crashes that are kept for one request.
	maxReports = 8
)

// Crash identifies one end of a backend server's process that no one had announced.
type Crash struct {
	Host     ownership.HostID   `json:"host,omitempty"`
	Instance ownership.Instance `json:"instance"`
}

// Report states that a request was running on a server when it crashed or, without a Crash, that a server answered it.
type Report struct {
	Request call.Fingerprint `json:"request"`
	Crash   Crash            `json:"crash"`
	// At is the time of the crash or of the answer by the clock of the host that reports it.
	At time.Time `json:"at"`
}

// IsAnswer reports whether the report states that a server answered the request.
func (r Report) IsAnswer() bool { return r.Crash == Crash{} }

// Verdict is what is known of a request.
type Verdict struct {
	// IsSuspected means that the request was running on a server when it crashed, and has not been answered since.
	IsSuspected bool
	// HeldUntil is the time until which the request must not be sent to a server. It is zero if it may be sent.
	HeldUntil time.Time
	// IsOnProbation means that the request was held back and may run once more. Hosts take turns to try it.
	IsOnProbation bool
	// Crashes is the number of crashes in which it was running.
	Crashes int
}

// Held returns for how much longer the request is held back at a time, or zero if it may be sent.
func (v Verdict) Held(now time.Time) time.Duration {
	if v.HeldUntil.IsZero() {
		return 0
	}
	return v.HeldUntil.Sub(now)
}

// Refusal returns the result of a call that is held back at a time.
func (v Verdict) Refusal(now time.Time) call.Result {
	result := call.NotRun(call.Quarantined)
	result.RetryAfter = v.Held(now)
	return result
}

// List holds the reports of all daemons about requests that were running when servers crashed. It is safe for concurrent
// use.
type List struct {
	clock clockwork.Clock
	// size is the number of requests with reports.
	size atomic.Int64

	mu       sync.Mutex
	turn     Turn
	requests map[call.Fingerprint]*suspect
}

// suspect holds the reports about one request.
type suspect struct {
	crashes    map[Crash]time.Time
	answeredAt time.Time
	// triedAt is when this host last tried the request after it had been held back.
	triedAt time.Time
}

// NewList returns an empty list.
func NewList(clock clockwork.Clock) *List {
	return &List{clock: clock, requests: map[call.Fingerprint]*suspect{}}
}

// SetTurn sets the turn of this host.
func (l *List) SetTurn(turn Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn = turn
}

// IsEmpty reports whether there are no reports. It is cheap, and spares the fingerprint of a request.
func (l *List) IsEmpty() bool { return l.size.Load() == 0 }

// Add applies a report and returns whether it was new. Reports that have expired, or that state a time far in the future,
// are not applied.
func (l *List) Add(r Report) bool {
	now := l.clock.Now()
	if now.Sub(r.At) >= reportTTL || r.At.Sub(now) > maxClockSkew {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.requests[r.Request]
	if s == nil {
		if r.IsAnswer() {
			return false // there is nothing to clear
		}
		l.makeRoom()
		s = &suspect{crashes: map[Crash]time.Time{}}
		l.requests[r.Request] = s
		l.size.Store(int64(len(l.requests)))
	}
	if r.IsAnswer() {
		isNew := r.At.After(s.answeredAt)
		if isNew {
			s.answeredAt = r.At
		}
		return isNew
	}
	if _, isKnown := s.crashes[r.Crash]; isKnown || !s.makeRoom(r.At) {
		return false
	}
	s.crashes[r.Crash] = r.At
	return true
}

// makeRoom drops the oldest crash if there are maxReports, and reports whether there is room for a crash at a time. All
// daemons keep the newest ones.
func (s *suspect) makeRoom(at time.Time) bool {
	if len(s.crashes) < maxReports {
		return true
	}
	var oldest Crash
	for crash, crashedAt := range s.crashes {
		if oldest == (Crash{}) || crashedAt.Before(s.crashes[oldest]) {
			oldest = crash
		}
	}
	if !at.After(s.crashes[oldest]) {
		return false
	}
	delete(s.crashes, oldest)
	return true
}

// makeRoom drops the request with the fewest crashes and, of these, the oldest one, if the list is full.
func (l *List) makeRoom() {
	if len(l.requests) < maxRequests {
		return
	}
	var dropped call.Fingerprint
	var fewest int
	var oldest time.Time
	for request, s := range l.requests {
		crashes, last := s.pending()
		if oldest.IsZero() || crashes < fewest || crashes == fewest && last.Before(oldest) {
			dropped, fewest, oldest = request, crashes, last
		}
	}
	delete(l.requests, dropped)
}

// pending returns the number of crashes since the last answer, and the time of the last crash of all.
func (s *suspect) pending() (crashes int, last time.Time) {
	for _, at := range s.crashes {
		if at.After(s.answeredAt) {
			crashes++
		}
		if at.After(last) {
			last = at
		}
	}
	return crashes, last
}

// hasRecurred reports whether the crashes since the last answer belong to more than one round.
func (s *suspect) hasRecurred() bool {
	var times []time.Time
	for _, at := range s.crashes {
		if at.After(s.answeredAt) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		if times[i].Sub(times[i-1]) >= roundGap {
			return true
		}
	}
	return false
}

// Check returns what is known of a call. While there are no reports, it is cheap: it does not compute the fingerprint.
func (l *List) Check(c call.Call) Verdict {
	if l.IsEmpty() {
		return Verdict{}
	}
	return l.Verdict(c.Fingerprint())
}

// Verdict returns what is known of a request.
func (l *List) Verdict(request call.Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[request].verdict(l.clock.Now())
}

// Try returns what is known of a call that is sent if it is not held back. A call on probation is held back until this
// host's turn, and one call is sent in each turn.
func (l *List) Try(c call.Call) Verdict {
	if l.IsEmpty() {
		return Verdict{}
	}
	request := c.Fingerprint()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.requests[request]
	verdict := s.verdict(now)
	if !verdict.IsOnProbation {
		return verdict
	}
	heldUntil := s.heldUntil(s.pending())
	start := l.turn.startsAt(now, heldUntil)
	if !s.triedAt.Before(start) { // it was tried in this turn
		start = l.turn.startsAt(start.Add(startTime), heldUntil)
	}
	if start.After(now) {
		verdict.HeldUntil = start
	} else {
		s.triedAt = now
	}
	return verdict
}

// verdict returns what is known of a request at a time.
func (s *suspect) verdict(now time.Time) Verdict {
	if s == nil {
		return Verdict{}
	}
	crashes, last := s.pending()
	if crashes == 0 {
		return Verdict{}
	}
	verdict := Verdict{IsSuspected: true, Crashes: crashes}
	switch until := s.heldUntil(crashes, last); {
	case until.After(now):
		verdict.HeldUntil = until
	case crashes >= probationCrashes:
		verdict.IsOnProbation = true
	}
	return verdict
}

// heldUntil returns the time until which a request is held back after a number of crashes, of which the last was at a time.
func (s *suspect) heldUntil(crashes int, last time.Time) time.Time {
	switch {
	case crashes >= holdCrashes && s.hasRecurred():
		return last.Add(reportTTL)
	case crashes >= probationCrashes:
		return last.Add(probationTime)
	default:
		return time.Time{}
	}
}

// Expire drops requests whose last crash was reportTTL ago.
func (l *List) Expire() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, s := range l.requests {
		if _, last := s.pending(); now.Sub(last) >= reportTTL {
			delete(l.requests, request)
		}
	}
	l.size.Store(int64(len(l.requests)))
}

// ReportsOf returns the reports about a request, ordered by time.
func (l *List) ReportsOf(request call.Fingerprint) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[request].reports(request)
}

// Reports returns all reports. Those of a request are ordered by time.
func (l *List) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Report
	for request, s := range l.requests {
		all = append(all, s.reports(request)...)
	}
	return all
}

func (s *suspect) reports(request call.Fingerprint) []Report {
	if s == nil {
		return nil
	}
	var reports []Report
	for crash, at := range s.crashes {
		reports = append(reports, Report{Request: request, Crash: crash, At: at})
	}
	if !s.answeredAt.IsZero() {
		reports = append(reports, Report{Request: request, At: s.answeredAt})
	}
	slices.SortFunc(reports, func(a, b Report) int { return a.At.Compare(b.At) })
	return reports
}

// Digest returns a digest of all reports. Lists with equal digests have the same reports.
func (l *List) Digest() uint64 {
	digest := uint64(0)
	for _, r := range l.Reports() {
		// A sum does not depend on the order.
		digest += xxhash.Sum64String(fmt.Sprintf("%s %q %q %d %d",
			r.Request, r.Crash.Host, r.Crash.Instance.ID, r.Crash.Instance.Born, r.At.UnixNano()))
	}
	return digest
}
