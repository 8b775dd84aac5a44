package soak

import (
	"slices"
	"syscall"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

// fault is a kind of fault that can be injected into a host or into the store.
type fault struct {
	name string
	// breaksConnections is where callers may see broken connections.
	breaksConnections scope
	// holdsUpCalls is set if calls to the host may be held up without a sign of it.
	holdsUpCalls bool
	// delaysConfig is where a configuration may take longer to come into force: on the host, or everywhere.
	delaysConfig scope
	// inject starts the fault and revert ends it. Revert is nil if the fault needs no reverting.
	inject func(r *runner, h *deployment.Host)
	revert func(r *runner, h *deployment.Host)
}

//go:generate go tool stringer -type=scope -linecomment

// scope is the set of hosts that an effect of a fault reaches.
type scope int

const (
	nowhere    scope = iota // nowhere
	onHost                  // on_host
	everywhere              // everywhere
)

// Parameters of the faults.
const (
	// linkDelay is the delay of a slow link, and storeDelay the delay of a slow store, sixty times the usual delay of
	// the store.
	linkDelay  = 40 * time.Millisecond
	storeDelay = 240 * time.Millisecond
	// responseLossRatio is the fraction of store calls whose responses are lost.
	responseLossRatio = 0.35
	// drainDuration is how long a draining backend server keeps running before it stops.
	drainDuration = 2500 * time.Millisecond
	// coldDuration is how long a server is cold that becomes so under load.
	coldDuration = 3 * time.Second
	// hangDuration is how long a server leaves requests unanswered.
	hangDuration = 1500 * time.Millisecond
	// leavingCallers is the number of callers that leave while a daemon is stopped.
	leavingCallers = 40
	// evacuationLength is how long a failure domain stays evacuated at least.
	evacuationLength = deployment.EvacuationTime + 2*time.Second
	// heartbeatDelay is by how much a heartbeat is late after the restart of its daemon.
	heartbeatDelay = 500 * time.Millisecond
)

// faults returns all faults that a schedule draws from.
func faults() []fault {
	return []fault{
		{name: "kill", breaksConnections: onHost, delaysConfig: onHost, inject: killDaemon, revert: startDaemon},
		{name: "terminate", delaysConfig: onHost, inject: terminateDaemon, revert: startDaemon},
		{
			name: "freeze", breaksConnections: onHost, delaysConfig: onHost,
			inject: freezeDaemon,
			revert: signalDaemon(syscall.SIGCONT),
		},
		{name: "reload", inject: signalDaemon(syscall.SIGHUP), revert: signalDaemon(syscall.SIGHUP)},
		{name: "server crash", inject: crashServer, revert: startServer},
		{name: "server drain", inject: drainServer, revert: startServer},
		{name: "server shutdown", inject: shutDownServer, revert: startServer},
		{
			name: "departure before restart", breaksConnections: onHost, delaysConfig: onHost,
			inject: deregisterBeforeRestart,
			revert: startServer,
		},
		{
			name: "cut", breaksConnections: onHost, holdsUpCalls: true, delaysConfig: onHost,
			inject: impairLinks(Impairment{StallToTarget: true, StallFromTarget: true}, peerLinks...),
			revert: restoreLinks(peerLinks...),
		},
		{
			name: "cut one way", breaksConnections: onHost, holdsUpCalls: true, delaysConfig: onHost,
			inject: impairLinks(Impairment{StallToTarget: true}, peerLinks...),
			revert: restoreLinks(peerLinks...),
		},
		{
			name: "slow links", delaysConfig: onHost,
			inject: impairLinks(Impairment{Delay: linkDelay}, peerLinks...),
			revert: restoreLinks(peerLinks...),
		},
		{name: "reset", breaksConnections: onHost, delaysConfig: onHost, inject: resetLinks, revert: resetLinks},
		{
			name: "store silent", delaysConfig: onHost,
			inject: impairLinks(Impairment{StallToTarget: true, StallFromTarget: true}, deployment.ToStore),
			revert: restoreLinks(deployment.ToStore),
		},
		{
			name: "store refuses", delaysConfig: onHost,
			inject: refuseStoreConnections,
			revert: restoreLinks(deployment.ToStore),
		},
		{name: "store forgets host", delaysConfig: onHost, inject: deletePresence},
		{name: "store down", delaysConfig: everywhere, inject: takeStoreDown(false), revert: bringStoreUp},
		{name: "store lapses", delaysConfig: everywhere, inject: takeStoreDown(true), revert: bringStoreUp},
		{name: "store slow", delaysConfig: everywhere, inject: delayStore(storeDelay), revert: delayStore(0)},
		{
			name: "store loses answers", delaysConfig: everywhere,
			inject: dropStoreResponses(responseLossRatio),
			revert: dropStoreResponses(0),
		},
		{name: "store compacts", inject: compactStore},
		{name: "store restored", delaysConfig: everywhere, inject: copyStore, revert: restoreStore},
		{name: "configuration", inject: publishConfig},
		{name: coldFault, inject: coolServer},
		{name: hangFault, inject: hangServer},
		{name: "evacuation", inject: evacuateDomain, revert: takeDomainBack},
		{
			name: "departure before loss of all daemons", breaksConnections: everywhere, delaysConfig: everywhere,
			inject: deregisterBeforeLoss,
			revert: startServer,
		},
	}
}

// faultNames returns the names of the faults of a plan, in the order of the list. The faults of cold servers and of those
// that hang are left out of plans that are not load-aware, so that their schedules remain the same.
func faultNames(plan deployment.Plan) []string {
	var names []string
	for _, f := range faults() {
		isOfLoadAware := f.name == coldFault || f.name == hangFault
		if !isOfLoadAware || plan.Config.IsLoadAware() {
			names = append(names, f.name)
		}
	}
	return names
}

// coldFault is the name of the fault in which a server becomes cold, and hangFault that of the one in which it leaves
// requests unanswered.
const (
	coldFault = "server cold"
	hangFault = "server hangs"
)

func faultByName(name string) fault {
	all := faults()
	return all[slices.IndexFunc(all, func(f fault) bool { return f.name == name })]
}

// peerLinks are the links over which other daemons connect to a host's daemon.
var peerLinks = []deployment.Link{deployment.ToHop, deployment.ToControl}

func killDaemon(r *runner, h *deployment.Host) {
	r.withHostLock(h, func() { h.KillDaemon() })
}

// terminateDaemon sends SIGTERM to a daemon. The daemon has to exit within the stop timeout, unless a fault that breaks
// connections has affected the host.
func terminateDaemon(r *runner, h *deployment.Host) {
	r.withHostLock(h, func() {
		start := time.Now()
		if h.IsDaemonRunning() && !h.TerminateDaemon() && !r.mayBreakConnections(h, start, time.Now()) {
			r.deployment.Checker.ReportViolation("daemon on host %s did not exit within the stop timeout after SIGTERM", h.ID)
		}
	})
}

func startDaemon(r *runner, h *deployment.Host) {
	r.withHostLock(h, func() {
		if !h.IsDaemonRunning() {
			r.reportHarnessError(r.deployment.StartDaemon(h))
		}
	})
}

func signalDaemon(s syscall.Signal) func(*runner, *deployment.Host) {
	return func(_ *runner, h *deployment.Host) { _ = h.SignalDaemon(s) } // the process may have exited
}

// freezeDaemon stops a daemon while callers send requests and leave. It reads the requests when it goes on.
func freezeDaemon(r *runner, h *deployment.Host) {
	signalDaemon(syscall.SIGSTOP)(r, h)
	r.deployment.SendAndLeave(r.ctx, h, leavingCallers)
}

func crashServer(r *runner, h *deployment.Host) {
	r.withHostLock(h, func() { h.CrashServer() })
}

// drainServer makes a backend server announce that it is draining, and stops it after drainDuration.
func drainServer(r *runner, h *deployment.Host) {
	h.DrainServer()
	if deployment.Sleep(r.ctx, drainDuration) {
		crashServer(r, h)
	}
}

// shutDownServer makes a backend server deregister, and end in an orderly way after drainDuration.
func shutDownServer(r *runner, h *deployment.Host) {
	h.DeregisterServer()
	if deployment.Sleep(r.ctx, drainDuration) {
		r.withHostLock(h, h.ShutDownServer)
	}
}

// deregisterBeforeRestart makes a backend server deregister, restarts its daemon, and delivers a heartbeat that the server
// sent before. The server serves on for drainDuration.
func deregisterBeforeRestart(r *runner, h *deployment.Host) {
	deliver := h.HoldBackHeartbeat()
	h.DeregisterServer()
	killDaemon(r, h)
	startDaemon(r, h)
	if !deployment.Sleep(r.ctx, heartbeatDelay) {
		return
	}
	deliver()
	if deployment.Sleep(r.ctx, drainDuration) {
		crashServer(r, h)
	}
}

// deregisterBeforeLoss makes a backend server deregister while the store is down, kills all daemons and delivers a heartbeat
// that the server sent before. Every second time, the store comes back from a copy.
func deregisterBeforeLoss(r *runner, h *deployment.Host) {
	storeCopy := r.deployment.CopyStore()
	deliver := h.HoldBackHeartbeat()
	r.deployment.TakeStoreDown(false)
	h.DeregisterServer()
	r.forEachHost(killDaemon)
	r.forEachHost(startDaemon)
	if r.countLoss()%2 == 0 {
		r.reportHarnessError(r.deployment.RestoreStore(storeCopy))
	} else {
		r.deployment.BringStoreUp()
	}
	if !deployment.Sleep(r.ctx, heartbeatDelay) {
		return
	}
	deliver()
	if deployment.Sleep(r.ctx, drainDuration) {
		crashServer(r, h)
	}
}

func coolServer(_ *runner, h *deployment.Host) { h.CoolServer(coldDuration) }

func hangServer(_ *runner, h *deployment.Host) { h.HangServer(hangDuration) }

func startServer(r *runner, h *deployment.Host) {
	r.withHostLock(h, func() {
		if !h.HasServer() {
			r.reportHarnessError(r.deployment.StartServer(h))
		}
	})
}

func impairLinks(impairment Impairment, links ...deployment.Link) func(*runner, *deployment.Host) {
	return func(r *runner, h *deployment.Host) {
		for _, link := range links {
			r.proxy(h, link).SetImpairment(impairment)
		}
	}
}

func restoreLinks(links ...deployment.Link) func(*runner, *deployment.Host) {
	return impairLinks(Impairment{}, links...)
}

func resetLinks(r *runner, h *deployment.Host) {
	for _, link := range append(peerLinks, deployment.ToStore, deployment.ToServer) {
		r.proxy(h, link).ResetConnections()
	}
}

// refuseStoreConnections breaks a host's connections to the store and rejects new ones.
func refuseStoreConnections(r *runner, h *deployment.Host) {
	r.proxy(h, deployment.ToStore).SetImpairment(Impairment{RefuseConnections: true})
	r.proxy(h, deployment.ToStore).ResetConnections()
}

// deletePresence makes the store delete a host's presence while the host's lease goes on.
func deletePresence(r *runner, h *deployment.Host) { r.deployment.DeletePresence(h) }

// takeStoreDown makes the store unavailable. If expireLeases is set, leases expire meanwhile; otherwise they are
// extended by the length of the outage.
func takeStoreDown(expireLeases bool) func(*runner, *deployment.Host) {
	return func(r *runner, _ *deployment.Host) { r.deployment.TakeStoreDown(expireLeases) }
}

func bringStoreUp(r *runner, _ *deployment.Host) { r.deployment.BringStoreUp() }

func delayStore(delay time.Duration) func(*runner, *deployment.Host) {
	return func(r *runner, _ *deployment.Host) { r.deployment.DelayStore(delay) }
}

func dropStoreResponses(ratio float64) func(*runner, *deployment.Host) {
	return func(r *runner, _ *deployment.Host) { r.deployment.LoseStoreResponses(ratio) }
}

func compactStore(r *runner, _ *deployment.Host) { r.deployment.CompactStore() }

// copyStore copies the store, which then goes on.
func copyStore(r *runner, _ *deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeCopy = r.deployment.CopyStore()
}

// restoreStore restores the store from its newest copy.
func restoreStore(r *runner, _ *deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportHarnessError(r.deployment.RestoreStore(r.storeCopy))
}

// publishConfig writes a newer configuration with longer timeouts.
func publishConfig(r *runner, _ *deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.plan.Config
	r.version += 3 // version numbers need not be consecutive
	next.Version = r.version
	next.Classes = append([]class.Class(nil), next.Classes...)
	for i := range next.Classes {
		next.Classes[i].Timeout += time.Duration(r.version) * time.Millisecond
	}
	r.reportHarnessError(r.deployment.PutConfig(&next))
	r.published = append(r.published, publishedConfig{version: next.Version, at: time.Now()})
}

// evacuateDomain evacuates the failure domain of a host.
func evacuateDomain(r *runner, h *deployment.Host) {
	r.reportHarnessError(r.deployment.SetEvacuated(h.Group.FailureDomain, true))
	deployment.Sleep(r.ctx, evacuationLength)
}

func takeDomainBack(r *runner, h *deployment.Host) {
	r.reportHarnessError(r.deployment.SetEvacuated(h.Group.FailureDomain, false))
}
