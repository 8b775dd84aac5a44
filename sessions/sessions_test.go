// Package sessions_test runs scripted end-to-end tests against deployments of real daemon processes.
package sessions_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
	"github.com/skylarkrelay/skylarkrelay/store"
)

const (
	// awaitTimeout bounds each wait for a state, including the takeover after the loss of a whole failure domain.
	awaitTimeout = 20 * time.Second
	awaitPoll    = 50 * time.Millisecond
)

// scriptSession holds the deployment and the load that a script has started.
type scriptSession struct {
	deployment *deployment.Deployment
	load       *deployment.Load
	// storeCopy is the copy of the store that the script made last.
	storeCopy *store.MemoryCopy
	// deliver delivers the heartbeats that the script holds back.
	deliver []func()
}

// sessionKey is the key of the session in the values of a script's environment.
type sessionKey struct{}

func TestSessions(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "skylarkrelay")
	build := exec.Command("go", "build", "-o", binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[sessionKey{}] = &scriptSession{}
			env.Setenv("RELAY", binary)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deployment": startDeployment,
			"lose":       forEachHost(func(h *deployment.Host) { h.KillDaemon() }),
			"crash":      forEachHost(func(h *deployment.Host) { h.CrashServer() }),
			"drain":      forEachHost(func(h *deployment.Host) { h.DrainServer() }),
			"leave":      forEachHost(func(h *deployment.Host) { h.LeaveServer() }),
			"deregister": forEachHost(func(h *deployment.Host) { h.DeregisterServer() }),
			"shutdown":   forEachHost(func(h *deployment.Host) { h.ShutDownServer() }),
			"hold":       holdHeartbeat,
			"deliver":    deliverHeartbeats,
			"limit":      limitServer,
			"cool":       forTime((*deployment.Host).CoolServer),
			"hang":       forTime((*deployment.Host).HangServer),
			"freeze":     forEachHost(func(h *deployment.Host) { _ = h.SignalDaemon(syscall.SIGSTOP) }),
			"thaw":       forEachHost(func(h *deployment.Host) { _ = h.SignalDaemon(syscall.SIGCONT) }),
			"reload":     forEachHost(func(h *deployment.Host) { _ = h.SignalDaemon(syscall.SIGHUP) }),
			"deadly":     sendDeadly,
			"terminate":  terminateDaemon,
			"daemon":     startDaemon,
			"server":     startServer,
			"store":      setStoreFault,
			"refuse":     setStoreRefusal,
			"evacuate":   setEvacuated,
			"forget":     deletePresence,
			"configure":  publishConfig,
			"load":       controlLoad,
			"await":      awaitState,
			"owns":       checkOwnership,
			"pause":      pause,
			"kept":       checkNoViolations,
		},
	})
}

func sessionOf(ts *testscript.TestScript) *scriptSession {
	return ts.Value(sessionKey{}).(*scriptSession)
}

// startDeployment implements "deployment lorient|dakar|dakar_cold": it starts a deployment and waits until all classes are served.
func startDeployment(ts *testscript.TestScript, _ bool, args []string) {
	plan := deployment.Lorient()
	switch args[0] {
	case "dakar":
		plan = deployment.Dakar()
	case "dakar_cold":
		plan = deployment.WithColdServers(deployment.Dakar())
	}
	d, err := deployment.Start(plan, ts.Getenv("RELAY"), ts.MkAbs("."))
	if d != nil {
		sessionOf(ts).deployment = d
		ts.Defer(func() { stopSession(ts) })
	}
	ts.Check(err)
	awaitState(ts, false, []string{"served"})
}

// stopSession stops the load and the deployment. If SESSION_LOGS is set, it writes the daemons' logs to that directory.
func stopSession(ts *testscript.TestScript) {
	s := sessionOf(ts)
	if s.load != nil {
		s.load.Stop()
	}
	s.deployment.Stop()
	if dir := os.Getenv("SESSION_LOGS"); dir != "" {
		for _, h := range s.deployment.Hosts {
			_ = os.WriteFile(filepath.Join(dir, ts.Name()+"-"+string(h.ID)+".log"), []byte(s.deployment.Logs(h)), 0o600)
		}
	}
}

// hostsByArgs returns the hosts that the arguments name. An argument is a host, or domain:NAME for all hosts of a
// failure domain.
func hostsByArgs(ts *testscript.TestScript, args []string) []*deployment.Host {
	var matched []*deployment.Host
	for _, arg := range args {
		if domain, ok := strings.CutPrefix(arg, "domain:"); ok {
			matched = append(matched, sessionOf(ts).deployment.HostsInDomain(domain)...)
			continue
		}
		h := sessionOf(ts).deployment.FindHost(arg)
		if h == nil {
			ts.Fatalf("unknown host %s: not part of the deployment", arg)
		}
		matched = append(matched, h)
	}
	return matched
}

// forEachHost returns a command that applies an action to each host that its arguments name.
func forEachHost(action func(*deployment.Host)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, h := range hostsByArgs(ts, args) {
			action(h)
		}
	}
}

// holdHeartbeat implements "hold HOST...": the hosts' backend servers send a heartbeat that is held up on its way until
// "deliver".
func holdHeartbeat(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	for _, h := range hostsByArgs(ts, args) {
		s.deliver = append(s.deliver, h.HoldBackHeartbeat())
	}
}

// deliverHeartbeats implements "deliver".
func deliverHeartbeats(ts *testscript.TestScript, _ bool, _ []string) {
	s := sessionOf(ts)
	for _, deliver := range s.deliver {
		deliver()
	}
	s.deliver = nil
}

// limitServer implements "limit RATE HOST...", which makes the hosts' backend servers state a rate limit, and "! limit
// HOST...", which ends it.
func limitServer(ts *testscript.TestScript, neg bool, args []string) {
	perSecond := 0.0
	if !neg {
		var err error
		perSecond, err = strconv.ParseFloat(args[0], 64)
		ts.Check(err)
		args = args[1:]
	}
	for _, h := range hostsByArgs(ts, args) {
		h.LimitServer(perSecond)
	}
}

// forTime returns a command "NAME DURATION HOST..." that applies an action of the given duration to the hosts. "cool" makes
// their backend servers cold, and "hang" makes them leave requests unanswered.
func forTime(action func(*deployment.Host, time.Duration)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		duration, err := time.ParseDuration(args[0])
		ts.Check(err)
		for _, h := range hostsByArgs(ts, args[1:]) {
			action(h, duration)
		}
	}
}

// deadlyInterval is the pause between two requests that crash servers, and maxDeadlyCrashes how many servers the same
// request may crash.
const (
	deadlyInterval   = 300 * time.Millisecond
	maxDeadlyCrashes = 3
)

// sendDeadly implements "deadly CLASS COUNT": it sends a request of the class that crashes the servers that run it, and
// "! deadly CLASS COUNT", where the request must reach no server.
func sendDeadly(ts *testscript.TestScript, neg bool, args []string) {
	d := sessionOf(ts).deployment
	classes := d.Config().Classes
	index := slices.IndexFunc(classes, func(c class.Class) bool { return string(c.Name) == args[0] })
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	crashes, responses, err := d.SendDeadly(&classes[index], count, deadlyInterval)
	ts.Check(err)
	ts.Logf("%d servers crashed, responses by status %v", crashes, responses)
	switch {
	case neg && crashes > 0:
		ts.Fatalf("%d servers crashed, expected none", crashes)
	case !neg && (crashes == 0 || crashes > maxDeadlyCrashes):
		ts.Fatalf("%d servers crashed, expected 1 to %d", crashes, maxDeadlyCrashes)
	}
}

// terminateDaemon stops daemons with SIGTERM, one after the other. Each has to exit within the stop timeout.
func terminateDaemon(ts *testscript.TestScript, _ bool, args []string) {
	for _, h := range hostsByArgs(ts, args) {
		if !h.TerminateDaemon() {
			ts.Fatalf("daemon on host %s did not exit within the stop timeout after SIGTERM", h.ID)
		}
	}
}

// startDaemon implements "daemon HOST...".
func startDaemon(ts *testscript.TestScript, _ bool, args []string) {
	for _, h := range hostsByArgs(ts, args) {
		ts.Check(sessionOf(ts).deployment.StartDaemon(h))
	}
}

// startServer implements "server HOST...", which starts the hosts' backend servers.
func startServer(ts *testscript.TestScript, _ bool, args []string) {
	for _, h := range hostsByArgs(ts, args) {
		ts.Check(sessionOf(ts).deployment.StartServer(h))
	}
}

// setStoreFault implements "store down|lapse|up|compact". "down" and "lapse" make the store unavailable until "up":
// with "down" leases are extended by the outage, with "lapse" they expire. "compact" discards the store's history.
func setStoreFault(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	d := s.deployment
	switch args[0] {
	case "copy":
		s.storeCopy = d.CopyStore()
	case "restore":
		ts.Check(d.RestoreStore(s.storeCopy))
	case "down":
		d.TakeStoreDown(false)
	case "lapse":
		d.TakeStoreDown(true)
	case "up":
		d.BringStoreUp()
	case "compact":
		d.CompactStore()
	default:
		ts.Fatalf("store: got %s, expected copy, restore, down, lapse, up or compact", args[0])
	}
}

// setStoreRefusal implements "refuse HOST...", which makes the store reject calls from the hosts, and "! refuse
// HOST...", which ends that.
func setStoreRefusal(ts *testscript.TestScript, neg bool, args []string) {
	for _, h := range hostsByArgs(ts, args) {
		sessionOf(ts).deployment.SetHostRejected(h, !neg)
	}
}

// setEvacuated implements "evacuate DOMAIN...", which evacuates failure domains, and "! evacuate DOMAIN...", which takes them
// back.
func setEvacuated(ts *testscript.TestScript, neg bool, args []string) {
	for _, domain := range args {
		ts.Check(sessionOf(ts).deployment.SetEvacuated(ownership.FailureDomain(domain), !neg))
	}
}

// deletePresence implements "forget HOST...": the store deletes the hosts' presence while their leases go on.
func deletePresence(ts *testscript.TestScript, _ bool, args []string) {
	for _, h := range hostsByArgs(ts, args) {
		sessionOf(ts).deployment.DeletePresence(h)
	}
}

// publishConfig writes configuration version 7: that of the deployment's plan with all timeouts doubled.
func publishConfig(ts *testscript.TestScript, _ bool, _ []string) {
	d := sessionOf(ts).deployment
	next := *d.Config()
	next.Version = 7
	next.Classes = append([]class.Class(nil), next.Classes...)
	for i := range next.Classes {
		next.Classes[i].Timeout *= 2
	}
	ts.Check(d.PutConfig(&next))
}

// controlLoad implements "load start" and "load stop [strict|whole]". Load calls all classes through all daemons. "load stop"
// fails if a class got no answer at all, with "strict" also if any call was not answered, and with "whole" if the connection
// of a call that ran broke.
func controlLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	if args[0] == "start" {
		s.load = s.deployment.StartLoad()
		return
	}
	tallies := s.load.Stop()
	broken := s.load.BrokenCalls()
	s.load = nil
	if len(args) > 1 && args[1] == "whole" && len(broken) > 0 {
		ts.Fatalf("%d connections broke, the first one to %s: %v", len(broken), broken[0].Host, broken[0].Cause)
	}
	ts.Logf("%s", strings.Join(deployment.FormatTallies(tallies), "\n"))
	isStrict := len(args) > 1 && args[1] == "strict"
	for name, t := range tallies {
		if isStrict && t.Answered != t.Sent {
			ts.Fatalf("class %s: %s", name, t)
		}
		if t.Answered == 0 {
			ts.Fatalf("class %s: got no answer to any call", name)
		}
	}
}

// awaitState implements "await served", "await gone HOST..." and "await version", which waits for configuration version
// 7.
func awaitState(ts *testscript.TestScript, _ bool, args []string) {
	var reason string
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPoll) {
		switch args[0] {
		case "served":
			reason = unservedReason(sessionOf(ts).deployment)
		case "gone":
			reason = notRemovedReason(sessionOf(ts).deployment, hostsByArgs(ts, args[1:]))
		case "version":
			reason = configPendingReason(sessionOf(ts).deployment, 7)
		default:
			ts.Fatalf("await: got %s, expected served, gone or version", args[0])
		}
		if reason == "" {
			ts.Logf("state reached after %s", time.Since(start).Round(time.Millisecond))
			return
		}
	}
	ts.Logf("%s", strings.Join(sessionOf(ts).deployment.Checker.Violations(), "\n"))
	ts.Fatalf("state not reached within the timeout: %s", reason)
}

// unservedReason returns the first call that the first running daemon does not answer, or "" if it answers all.
func unservedReason(d *deployment.Deployment) string {
	for _, h := range d.Hosts {
		if !h.IsDaemonRunning() {
			continue
		}
		return d.FirstUnanswered(h)
	}
	return "no daemon is running"
}

// checkOwnership checks that hosts are registered and, if their service is sharded by key, own keys.
func checkOwnership(ts *testscript.TestScript, _ bool, args []string) {
	d := sessionOf(ts).deployment
	for _, h := range hostsByArgs(ts, args) {
		if !d.IsRegistered(h) {
			ts.Fatalf("host %s is not registered in the store", h.ID)
		}
		r := d.Record(h.Group.Service)
		if r == nil {
			continue
		}
		index := r.MemberIndex(h.ID)
		if index == ownership.NoMember {
			ts.Fatalf("host %s is not a member of its service's ownership record", h.ID)
		}
		if keys, _ := r.CountsByMember(); keys[index] == 0 {
			ts.Fatalf("host %s owns no keys", h.ID)
		}
	}
}

// notRemovedReason reports a removed host that still owns keys or that another daemon still uses. It returns "" if
// there is none.
func notRemovedReason(d *deployment.Deployment, removed []*deployment.Host) string {
	isRemoved := map[ownership.HostID]bool{}
	for _, h := range removed {
		isRemoved[h.ID] = true
		if r := d.Record(h.Group.Service); r != nil {
			if index := r.MemberIndex(h.ID); index != ownership.NoMember {
				if keys, _ := r.CountsByMember(); keys[index] > 0 {
					return string(h.ID) + " still owns keys"
				}
			}
		}
	}
	for _, h := range d.Hosts {
		if !h.IsDaemonRunning() || isRemoved[h.ID] {
			continue
		}
		status, err := h.Status(context.Background())
		if err != nil {
			return err.Error()
		}
		for _, other := range status.Hosts {
			if isRemoved[ownership.HostID(other.Host)] && other.IsUsable {
				return other.Host + " is still usable according to " + string(h.ID)
			}
		}
	}
	return ""
}

// configPendingReason reports a running daemon that does not have the configuration version in force. It returns "" if
// there is none.
func configPendingReason(d *deployment.Deployment, version class.Version) string {
	for _, h := range d.Hosts {
		if !h.IsDaemonRunning() {
			continue
		}
		status, err := h.Status(context.Background())
		if err != nil {
			return err.Error()
		}
		if status.Config != version {
			return string(h.ID) + " does not run the new configuration yet"
		}
	}
	return ""
}

// pause implements "pause DURATION".
func pause(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}

// checkNoViolations implements "kept": it fails if the deployment's checker has recorded a violation of the product's
// guarantees.
func checkNoViolations(ts *testscript.TestScript, _ bool, _ []string) {
	checker := sessionOf(ts).deployment.Checker
	violations := checker.Violations()
	for _, arrival := range checker.EvacuatedArrivals() {
		violations = append(violations, arrival.String())
	}
	if len(violations) > 0 {
		ts.Fatalf("guarantees violated:\n%s", strings.Join(violations, "\n"))
	}
}
