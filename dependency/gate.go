package dependency

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// outcomeMemory is the time constant of the share of nested calls that failed for lack of capacity.
	outcomeMemory = 800 * time.Millisecond
	// minOutcomes is the weight of recent outcomes from which on their share of failures counts. Hosts with few nested
	// calls see some six in outcomeMemory.
	minOutcomes = 4
	// maxLoss is the probability that a run is thrown away above which new runs are rejected.
	maxLoss = 0.5
	// maxLastingLoss is the same probability for the failures of lastingMemory: one in ten runs may be lost. Without it,
	// hosts that reject runs would make room for others that do not, whose loss then stays just below maxLoss.
	maxLastingLoss     = 0.1
	lastingMemory      = 3 * time.Second
	minLastingOutcomes = 15
	// probeShare is the least share of runs that is admitted, and probesPerSecond the least rate. They show when there is
	// capacity again.
	probeShare      = 0.07
	probesPerSecond = 3
	// arrivalMemory is the time constant of the rate at which runs arrive.
	arrivalMemory = time.Second
	// failureStep is the share by which a nested call that failed reduces the admitted share.
	failureStep = 0.25
	// idleStep is the share by which a nested call raises the admitted share if none was queued at its server when it
	// ended, and roomStep the additional raise if all slots were free. It decreases with the square of the free slots. Both
	// are rare on saturated servers. The nested calls of one host are too few to tell from their failures alone within a
	// second whether there is capacity.
	idleStep = 0.05
	roomStep = 0.6
	// calmStep is the share by which a nested call raises the admitted share if none has failed for calmTime. Servers with
	// many calls of less urgent classes are never idle.
	calmStep = 0.03
	calmTime = 700 * time.Millisecond
	// maxAdmitted is the greatest value of the admitted share. Above one all runs are admitted, and the excess is what
	// failures take away first. The rejection ends after openTime at this value without a failure.
	maxAdmitted = 1.25
	openTime    = time.Second
	// maxCredit bounds the runs that are admitted at once.
	maxCredit = 2
	// silenceTime is how long no nested call may end until the rejection ends: the runs seem to make none any more.
	silenceTime = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected run may come back. It is spread by
	// retrySpread.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	retrySpread   = 1.0
	// retryAfterWeight is the weight of one nested call in the average time until the called service has capacity.
	retryAfterWeight = 0.2
	// outageShare is the share of failures above which the called service counts as gone. The nested calls that succeed
	// then raise the admitted share by restartStep, until one fails: nothing is known of the capacity of a service that
	// returns.
	outageShare = 0.8
	restartStep = 1.5
)

// Outcome is how a nested call ended.
type Outcome struct {
	// HasFailed reports whether the call failed for lack of capacity: it was rejected, late or timed out.
	HasFailed bool
	// RetryAfter is the time after which the called service expects to have capacity, or zero.
	RetryAfter time.Duration
	// IsIdle reports whether no calls were queued at the server that ran the call when it ended, and FreeShare is then the
	// share of its slots that were free.
	IsIdle    bool
	FreeShare float64
}

// Gate rejects runs before they start while their nested calls of one class fail for lack of capacity. It closes when a
// run is more likely to be thrown away than not, and then admits as many runs as the called service has capacity for. It
// opens when all runs have been admitted for a while without a failure. It is not safe for concurrent use.
type Gate struct {
	random   *rand.Rand
	recent   failureShare
	lasting  failureShare
	arrived  decaying
	isClosed bool
	// isRestarting reports whether the called service was gone and nothing has failed since it returned.
	isRestarting bool
	// admitted is the share of runs that is admitted while the gate is closed, and credit what it has summed up to since a
	// run was admitted.
	admitted    float64
	credit      float64
	lastOutcome time.Time
	// failedAt is when a nested call last failed, and fullSince when admitted reached maxAdmitted, or zero.
	failedAt   time.Time
	fullSince  time.Time
	retryAfter time.Duration
	// Rejected is the number of runs rejected since the gate was closed.
	Rejected int
}

// NewGate returns an open gate.
func NewGate(random *rand.Rand) *Gate {
	g := &Gate{random: random}
	g.recent, g.lasting = newFailureShares()
	return g
}

// failureShare is the share of nested calls that failed, with a time constant.
type failureShare struct {
	memory time.Duration
	ended  decaying
	failed decaying
}

func newFailureShares() (recent, lasting failureShare) {
	return failureShare{memory: outcomeMemory}, failureShare{memory: lastingMemory}
}

func (s *failureShare) add(now time.Time, hasFailed bool) {
	s.ended.add(now, s.memory, 1)
	if hasFailed {
		s.failed.add(now, s.memory, 1)
	}
}

// get returns the share and the weight of the calls that it is computed from.
func (s *failureShare) get(now time.Time) (share, calls float64) {
	calls = s.ended.value(now, s.memory)
	if calls == 0 {
		return 0, 0
	}
	return s.failed.value(now, s.memory) / calls, calls
}

// IsClosed reports whether runs are being rejected.
func (g *Gate) IsClosed() bool { return g.isClosed }

// Admitted returns the share of runs that is admitted.
func (g *Gate) Admitted() float64 {
	if !g.isClosed {
		return 1
	}
	return min(1, g.admitted)
}

// FailedShare returns the share of recent nested calls that failed for lack of capacity.
func (g *Gate) FailedShare(now time.Time) float64 {
	share, _ := g.recent.get(now)
	return share
}

// Observe records the end of a nested call. A run makes the given number of them on average.
func (g *Gate) Observe(now time.Time, outcome Outcome, callsPerRun float64) {
	g.lastOutcome = now
	g.recent.add(now, outcome.HasFailed)
	g.lasting.add(now, outcome.HasFailed)
	if outcome.HasFailed {
		g.failedAt = now
		if outcome.RetryAfter > 0 {
			g.retryAfter += time.Duration(retryAfterWeight * float64(outcome.RetryAfter-g.retryAfter))
		}
	}
	if !g.isClosed {
		g.closeIfNeeded(now, callsPerRun)
		return
	}
	if outcome.HasFailed {
		g.admitted = max(g.minAdmitted(now), g.admitted*(1-failureStep))
		g.isRestarting = g.FailedShare(now) > outageShare
		g.fullSince = time.Time{}
		return
	}
	g.admitted = min(maxAdmitted, g.admitted*(1+g.raise(now, outcome)))
	switch {
	case g.admitted < maxAdmitted:
	case g.fullSince.IsZero():
		g.fullSince = now
	case now.Sub(g.fullSince) >= openTime:
		g.open()
	}
}

// raise returns the share by which a nested call that did not fail raises the admitted share.
func (g *Gate) raise(now time.Time, outcome Outcome) float64 {
	step := 0.0
	if outcome.IsIdle {
		step = idleStep + roomStep*outcome.FreeShare*outcome.FreeShare
	}
	if now.Sub(g.failedAt) >= calmTime {
		step = max(step, calmStep)
	}
	if g.isRestarting {
		step = max(step, restartStep)
	}
	return step
}

// closeIfNeeded closes the gate if a run is more likely to be thrown away than not, or if too many are lost for a while.
// The share of nested calls that did not fail is the share of runs for which there was capacity.
func (g *Gate) closeIfNeeded(now time.Time, callsPerRun float64) {
	loss := func(s *failureShare, minCalls float64) (probability, succeeded float64) {
		failed, calls := s.get(now)
		if calls < minCalls {
			return 0, 1
		}
		return 1 - math.Pow(1-failed, callsPerRun), 1 - failed
	}
	recent, succeeded := loss(&g.recent, minOutcomes)
	lasting, _ := loss(&g.lasting, minLastingOutcomes)
	if recent <= maxLoss && lasting <= maxLastingLoss {
		return
	}
	g.isClosed, g.Rejected = true, 0
	g.admitted, g.credit = max(g.minAdmitted(now), succeeded), 0
	g.fullSince = time.Time{}
}

// minAdmitted returns the least admitted share, at which probesPerSecond runs are admitted.
func (g *Gate) minAdmitted(now time.Time) float64 {
	perSecond := g.arrived.value(now, arrivalMemory) / arrivalMemory.Seconds()
	return max(probeShare, min(1, probesPerSecond/max(1, perSecond)))
}

func (g *Gate) open() {
	g.isClosed = false
	g.recent, g.lasting = newFailureShares()
}

// Admit decides about a new run. It returns zero to admit it, and otherwise the time after which it may come back.
func (g *Gate) Admit(now time.Time) time.Duration {
	g.arrived.add(now, arrivalMemory, 1)
	if g.isClosed && now.Sub(g.lastOutcome) > silenceTime {
		g.open()
	}
	if !g.isClosed {
		return 0
	}
	g.credit = min(maxCredit, g.credit+g.admitted)
	if g.credit < 1 {
		g.Rejected++
		return g.spreadRetryAfter()
	}
	g.credit--
	return 0
}

// spreadRetryAfter returns the time after which a rejected run may come back. It is spread, so that rejected runs do not
// come back together.
func (g *Gate) spreadRetryAfter() time.Duration {
	base := min(max(g.retryAfter, minRetryAfter), maxRetryAfter)
	return base + time.Duration(retrySpread*g.random.Float64()*float64(base))
}
