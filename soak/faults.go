package soak

import (
	"slices"
	"syscall"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

// fault is one kind of fault.
type fault struct {
	name string
	// excuses says that callers of the host may see broken connections.
	excuses bool
	// unsettles says that a configuration may take longer to be in force: on the host, or everywhere.
	unsettles scope
	begin     func(r *run, h *deployment.Host)
	end       func(r *run, h *deployment.Host)
}

//go:generate go tool stringer -type=scope -linecomment

// scope is how far a fault reaches.
type scope int

const (
	nowhere    scope = iota // nowhere
	onHost                  // on_host
	everywhere              // everywhere
)

// Figures of the faults.
const (
	// slowLink is the delay of a slow link, and slowStore that of a slow store: sixty times its usual one.
	slowLink  = 40 * time.Millisecond
	slowStore = 240 * time.Millisecond
	// lostAnswers is the share of its answers that a bad store loses.
	lostAnswers = 0.35
	// drainWait is how long a leaving server goes on.
	drainWait = 2500 * time.Millisecond
)

// faults returns the visible list of all faults.
func faults() []fault {
	return []fault{
		{name: "kill", excuses: true, unsettles: onHost, begin: kill, end: startDaemon},
		{name: "terminate", unsettles: onHost, begin: terminate, end: startDaemon},
		{name: "freeze", excuses: true, unsettles: onHost, begin: signal(syscall.SIGSTOP), end: signal(syscall.SIGCONT)},
		{name: "reload", begin: signal(syscall.SIGHUP), end: signal(syscall.SIGHUP)},
		{name: "server crash", begin: crash, end: startServer},
		{name: "server drain", begin: drain, end: startServer},
		{name: "cut", excuses: true, unsettles: onHost, begin: links(Trouble{HoldTo: true, HoldFrom: true}, peerLinks...), end: mend(peerLinks...)},
		{name: "cut one way", excuses: true, unsettles: onHost, begin: links(Trouble{HoldTo: true}, peerLinks...), end: mend(peerLinks...)},
		{name: "slow links", unsettles: onHost, begin: links(Trouble{Delay: slowLink}, peerLinks...), end: mend(peerLinks...)},
		{name: "reset", excuses: true, unsettles: onHost, begin: resetLinks, end: resetLinks},
		{name: "store silent", unsettles: onHost, begin: links(Trouble{HoldTo: true, HoldFrom: true}, deployment.ToStore), end: mend(deployment.ToStore)},
		{name: "store refuses", unsettles: onHost, begin: refuseStore, end: mend(deployment.ToStore)},
		{name: "store forgets host", unsettles: onHost, begin: forget},
		{name: "store down", unsettles: everywhere, begin: storeDown(false), end: storeUp},
		{name: "store lapses", unsettles: everywhere, begin: storeDown(true), end: storeUp},
		{name: "store slow", unsettles: everywhere, begin: storeSlow(slowStore), end: storeSlow(0)},
		{name: "store loses answers", unsettles: everywhere, begin: storeLoses(lostAnswers), end: storeLoses(0)},
		{name: "store compacts", begin: compact},
		{name: "configuration", begin: configure},
	}
}

// faultNames returns the names of all faults, in the order of the list.
func faultNames() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}

func faultNamed(name string) fault {
	all := faults()
	return all[slices.IndexFunc(all, func(f fault) bool { return f.name == name })]
}

// peerLinks are the links over which other daemons reach a host.
var peerLinks = []deployment.Link{deployment.ToHop, deployment.ToControl}

func kill(r *run, h *deployment.Host) {
	r.lock(h, func() { h.KillDaemon() })
}

// terminate asks a daemon to end. One that was not struck otherwise has to end in time.
func terminate(r *run, h *deployment.Host) {
	r.lock(h, func() {
		begun := time.Now()
		if h.IsDaemonRunning() && !h.TerminateDaemon() && !r.isExcused(h, begun, time.Now()) {
			r.deployment.Checker.ReportViolation("%s did not end in time", h.ID)
		}
	})
}

func startDaemon(r *run, h *deployment.Host) {
	r.lock(h, func() {
		if !h.IsDaemonRunning() {
			r.check(r.deployment.StartDaemon(h))
		}
	})
}

func signal(s syscall.Signal) func(*run, *deployment.Host) {
	return func(_ *run, h *deployment.Host) { _ = h.SignalDaemon(s) } // it may have ended
}

func crash(r *run, h *deployment.Host) {
	r.lock(h, func() { h.CrashServer() })
}

// drain makes a server say that it leaves, and end a while later.
func drain(r *run, h *deployment.Host) {
	h.DrainServer()
	if sleep(r.ctx, drainWait) {
		crash(r, h)
	}
}

func startServer(r *run, h *deployment.Host) {
	r.lock(h, func() {
		if !h.HasServer() {
			r.check(r.deployment.StartServer(h))
		}
	})
}

func links(t Trouble, which ...deployment.Link) func(*run, *deployment.Host) {
	return func(r *run, h *deployment.Host) {
		for _, link := range which {
			r.proxy(h, link).Set(t)
		}
	}
}

func mend(which ...deployment.Link) func(*run, *deployment.Host) {
	return links(Trouble{}, which...)
}

func resetLinks(r *run, h *deployment.Host) {
	for _, link := range append(peerLinks, deployment.ToStore, deployment.ToServer) {
		r.proxy(h, link).Reset()
	}
}

func refuseStore(r *run, h *deployment.Host) {
	r.proxy(h, deployment.ToStore).Set(Trouble{Refuse: true})
	r.proxy(h, deployment.ToStore).Reset()
}

func forget(r *run, h *deployment.Host) { r.deployment.DeletePresence(h) }

func storeDown(lapse bool) func(*run, *deployment.Host) {
	return func(r *run, _ *deployment.Host) { r.deployment.TakeStoreDown(lapse) }
}

func storeUp(r *run, _ *deployment.Host) { r.deployment.BringStoreUp() }

func storeSlow(wait time.Duration) func(*run, *deployment.Host) {
	return func(r *run, _ *deployment.Host) { r.deployment.DelayStore(wait) }
}

func storeLoses(share float64) func(*run, *deployment.Host) {
	return func(r *run, _ *deployment.Host) { r.deployment.LoseStoreResponses(share) }
}

func compact(r *run, _ *deployment.Host) { r.deployment.CompactStore() }

// configure writes a next configuration, with other timeouts.
func configure(r *run, _ *deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.plan.Config
	r.version += 3 // versions rise unevenly
	next.Version = r.version
	next.Classes = append([]class.Class(nil), next.Classes...)
	for i := range next.Classes {
		next.Classes[i].Timeout += time.Duration(r.version) * time.Millisecond
	}
	r.check(r.deployment.PutConfig(&next))
	r.accepted = append(r.accepted, acceptance{version: next.Version, at: time.Now()})
}
