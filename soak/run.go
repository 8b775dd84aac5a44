// Package soak runs deployments of real processes, injects random faults from outside, and checks the product's
// guarantees as callers and backend servers observe them.
package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// Options are the settings of one soak run.
type Options struct {
	Seed uint64
	Plan deployment.Plan
	// Binary is the path of the daemon's executable, and Dir the directory for the daemons' settings files and logs.
	Binary string
	Dir    string
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// CallInterval is the pause between two calls of the same class through the same daemon.
	CallInterval time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Steps   []Step
	Tallies map[class.Name]deployment.Tally
	// Recovery is the time from the end of the last fault until every daemon served all classes.
	Recovery time.Duration
	// Violations describes the guarantees that were violated.
	Violations []string
}

const (
	// startTimeout bounds the wait until every daemon of a new deployment serves all classes.
	startTimeout = 20 * time.Second
	// recoveryTime is the longest permitted time from the end of the last fault until every daemon serves all classes.
	// The platform's contract sets this bound.
	recoveryTime = 15 * time.Second
	pollInterval = 200 * time.Millisecond
)

// ViolationError reports the guarantees that were violated in a run.
type ViolationError struct{ Violations []string }

func (e *ViolationError) Error() string {
	return "guarantees violated:\n" + strings.Join(e.Violations, "\n")
}

// runner is the state of one soak run.
type runner struct {
	ctx        context.Context
	plan       deployment.Plan
	deployment *deployment.Deployment

	mu      sync.Mutex
	proxies map[ownership.HostID]map[deployment.Link]*Proxy
	locks   map[ownership.HostID]*sync.Mutex
	// injections are the faults injected so far: the checks tolerate the effects that these faults may have.
	injections []injection
	// version is the version of the newest configuration.
	version   class.Version
	published []publishedConfig
	// storeCopy is the newest copy of the store.
	storeCopy *store.MemoryCopy
	// losses counts how often all daemons were killed.
	losses int
}

// injection is a fault and the time during which it was injected into a host. A zero end (to) means that the fault is
// still active.
type injection struct {
	fault fault
	host  ownership.HostID
	from  time.Time
	to    time.Time
}

// publishedConfig is the version of a configuration and the time at which the store accepted it.
type publishedConfig struct {
	version class.Version
	at      time.Time
}

// Run starts a deployment, injects the faults of the seed's schedule under load and checks the guarantees. It returns a
// ViolationError if any was violated.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{
		ctx:     ctx,
		plan:    o.Plan,
		proxies: map[ownership.HostID]map[deployment.Link]*Proxy{},
		locks:   map[ownership.HostID]*sync.Mutex{},
		version: o.Plan.Config.Version,
	}
	defer r.close()
	d, err := deployment.StartWithMapper(o.Plan, o.Binary, o.Dir, r.addProxy)
	r.deployment = d
	if err != nil {
		return Result{}, err
	}
	if _, err := r.awaitServing(startTimeout); err != nil {
		return Result{}, err
	}
	result := Result{Steps: NewSchedule(o.Seed, o.FaultDuration, len(d.Hosts), faultNames(o.Plan))}
	load := d.StartLoadWithInterval(o.CallInterval)
	monitorDone := make(chan struct{})
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	go func() {
		defer close(monitorDone)
		r.monitorConfigs(monitorCtx)
	}()
	r.injectAll(result.Steps)
	r.revertAll()
	result.Recovery, err = r.awaitServing(recoveryTime)
	stopMonitor()
	<-monitorDone
	result.Tallies = load.Stop()
	r.checkAfterRun(load, err)
	result.Violations = d.Checker.Violations()
	if len(result.Violations) > 0 {
		return result, &ViolationError{Violations: result.Violations}
	}
	return result, nil
}

// addProxy inserts a proxy into a link and returns the proxy's address. All proxies of a host listen on one IP address
// of their own, on the ports of their targets.
func (r *runner) addProxy(h *deployment.Host, link deployment.Link, address string) (string, error) {
	ip := net.ParseIP(h.IP()).To4()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	proxyAddress := net.JoinHostPort(fmt.Sprintf("%d.%d.%d.%d", ip[0], ip[1], ip[2]+proxySubnetOffset, ip[3]), port)
	proxy, err := NewProxy(proxyAddress, address, h.IP())
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proxies[h.ID] == nil {
		r.proxies[h.ID] = map[deployment.Link]*Proxy{}
		r.locks[h.ID] = &sync.Mutex{}
	}
	r.proxies[h.ID][link] = proxy
	return proxyAddress, nil
}

// proxySubnetOffset is added to the third octet of a host's IP address to form the IP address of its proxies.
const proxySubnetOffset = 100

func (r *runner) proxy(h *deployment.Host, link deployment.Link) *Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxies[h.ID][link]
}

// withHostLock runs an action while holding the host's lock, so that starts and stops of the host's processes do not
// overlap.
func (r *runner) withHostLock(h *deployment.Host, action func()) {
	r.mu.Lock()
	mutex := r.locks[h.ID]
	r.mu.Unlock()
	mutex.Lock()
	defer mutex.Unlock()
	action()
}

// forEachHost applies an action to all hosts at the same time.
func (r *runner) forEachHost(action func(*runner, *deployment.Host)) {
	var group sync.WaitGroup
	for _, h := range r.deployment.Hosts {
		group.Go(func() { action(r, h) })
	}
	group.Wait()
}

// countLoss counts a loss of all daemons and returns the number of those before it.
func (r *runner) countLoss() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses++
	return r.losses - 1
}

// reportHarnessError records an error of the test harness as a violation, because no operation of the harness may fail.
func (r *runner) reportHarnessError(err error) {
	if err != nil {
		r.deployment.Checker.ReportViolation("test harness operation failed: %v", err)
	}
}

// injectAll injects the faults of all steps at their start times and waits until the last one is reverted.
func (r *runner) injectAll(steps []Step) {
	start := time.Now()
	var group sync.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			if deployment.Sleep(r.ctx, step.Start-time.Since(start)) {
				r.injectStep(step)
			}
		})
	}
	group.Wait()
}

// injectStep injects the fault of one step, waits for its duration and reverts it.
func (r *runner) injectStep(step Step) {
	f, h := faultByName(step.Fault), r.deployment.Hosts[step.Host]
	index := r.recordInjection(injection{fault: f, host: h.ID, from: time.Now()})
	f.inject(r, h)
	deployment.Sleep(r.ctx, step.Duration)
	if f.revert != nil {
		f.revert(r, h)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injections[index].to = time.Now()
}

// recordInjection appends an injection and returns its index.
func (r *runner) recordInjection(i injection) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injections = append(r.injections, i)
	return len(r.injections) - 1
}

// revertAll removes effects that remain because faults overlapped.
func (r *runner) revertAll() {
	r.deployment.BringStoreUp()
	r.deployment.DelayStore(0)
	r.deployment.LoseStoreResponses(0)
	for _, h := range r.deployment.Hosts {
		_ = h.SignalDaemon(syscall.SIGCONT) // the process may have exited
		restoreLinks(deployment.ToStore, deployment.ToServer, deployment.ToHop, deployment.ToControl)(r, h)
		startServer(r, h)
		startDaemon(r, h)
		takeDomainBack(r, h)
	}
}

// awaitServing waits until every daemon serves all classes with the newest configuration, and returns how long that
// took. It returns a ViolationError after the timeout.
func (r *runner) awaitServing(timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		checkedAt := time.Now()
		reason := r.unservedReason()
		switch elapsed := checkedAt.Sub(start); {
		case reason == "":
			return elapsed, nil
		case elapsed > timeout:
			return elapsed, &ViolationError{Violations: []string{
				"not every daemon serves with the newest configuration after " + elapsed.String() + ": " + reason,
			}}
		}
		if !deployment.Sleep(r.ctx, pollInterval) {
			return 0, r.ctx.Err()
		}
	}
}

// unservedReason returns why some daemon does not serve all classes with the newest configuration, or "" if all daemons
// do.
func (r *runner) unservedReason() string {
	r.mu.Lock()
	newest := r.version
	r.mu.Unlock()
	reasons := make(chan string, len(r.deployment.Hosts))
	for _, h := range r.deployment.Hosts {
		go func() { reasons <- r.unservedReasonOn(h, newest) }()
	}
	lastReason := ""
	for range r.deployment.Hosts {
		if reason := <-reasons; reason != "" {
			lastReason = reason
		}
	}
	return lastReason
}

// unservedReasonOn returns why a host's daemon does not serve all classes with the newest configuration, or "" if it
// does.
func (r *runner) unservedReasonOn(h *deployment.Host, newest class.Version) string {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	status, err := h.Status(ctx)
	if err != nil {
		return string(h.ID) + ": " + err.Error()
	}
	if status.Config != newest {
		return fmt.Sprintf("daemon on host %s has configuration version %d, expected %d", h.ID, status.Config, newest)
	}
	if reason := r.deployment.FirstUnanswered(h); reason != "" {
		return string(h.ID) + ": " + reason
	}
	return ""
}

// close stops the deployment and its proxies.
func (r *runner) close() {
	if r.deployment != nil {
		r.deployment.Stop()
	}
	for _, proxies := range r.proxies {
		for _, p := range proxies {
			p.Close()
		}
	}
}
