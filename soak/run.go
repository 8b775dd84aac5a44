// Package soak runs whole deployments of real processes under random faults from outside, and checks the product's promises
// meanwhile, from what callers and backend servers see.
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
)

// Options are one run's.
type Options struct {
	Seed uint64
	Plan deployment.Plan
	// Binary is the daemon's program, and Dir where logs are kept.
	Binary string
	Dir    string
	// Length is how long faults strike.
	Length time.Duration
	// CallInterval is the pause between two calls of one class through one daemon.
	CallInterval time.Duration
}

// Result is how a run went.
type Result struct {
	Steps   []Step
	Tallies map[class.Name]deployment.Tally
	// Recovery is how long it took after the last fault until every daemon served everything.
	Recovery time.Duration
	// Broken lists the promises that were broken.
	Broken []string
}

const (
	// startTimeout bounds the wait until a new deployment serves everything.
	startTimeout = 20 * time.Second
	// recoveryTime is how soon after the last fault everything has to be served, as the platform's contract bounds it.
	recoveryTime = 15 * time.Second
	pollInterval = 200 * time.Millisecond
)

// BrokenError reports the promises that a run found broken.
type BrokenError struct{ Promises []string }

func (e *BrokenError) Error() string { return "broken promises:\n" + strings.Join(e.Promises, "\n") }

// run is one running soak.
type run struct {
	ctx        context.Context
	plan       deployment.Plan
	deployment *deployment.Deployment

	mu      sync.Mutex
	proxies map[ownership.HostID]map[deployment.Link]*Proxy
	locks   map[ownership.HostID]*sync.Mutex
	// struck holds when faults struck, for what they excuse.
	struck   []strike
	version  class.Version
	accepted []acceptance
}

// strike is a fault's time on a host.
type strike struct {
	fault fault
	host  ownership.HostID
	from  time.Time
	to    time.Time
}

// acceptance is when the store took a configuration.
type acceptance struct {
	version class.Version
	at      time.Time
}

// Run runs one soak.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{
		ctx:     ctx,
		plan:    o.Plan,
		proxies: map[ownership.HostID]map[deployment.Link]*Proxy{},
		locks:   map[ownership.HostID]*sync.Mutex{},
		version: o.Plan.Config.Version,
	}
	defer r.close()
	d, err := deployment.StartWithMapper(o.Plan, o.Binary, o.Dir, r.wire)
	r.deployment = d
	if err != nil {
		return Result{}, err
	}
	if _, err := r.awaitServed(startTimeout); err != nil {
		return Result{}, err
	}
	result := Result{Steps: Schedule(o.Seed, o.Length, len(d.Hosts), faultNames())}
	load := d.StartLoadWithInterval(o.CallInterval)
	watched := make(chan struct{})
	watchCtx, stopWatch := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		r.watch(watchCtx)
	}()
	r.play(result.Steps)
	r.heal()
	result.Recovery, err = r.awaitServed(recoveryTime)
	stopWatch()
	<-watched
	result.Tallies = load.Stop()
	r.judge(load, err)
	result.Broken = d.Checker.Violations()
	if len(result.Broken) > 0 {
		return result, &BrokenError{Promises: result.Broken}
	}
	return result, nil
}

// wire puts a proxy into a link. Those towards a host listen on an IP number of their own.
func (r *run) wire(h *deployment.Host, link deployment.Link, address string) (string, error) {
	ip := net.ParseIP(h.IP()).To4()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	reached := net.JoinHostPort(fmt.Sprintf("%d.%d.%d.%d", ip[0], ip[1], ip[2]+proxyNet, ip[3]), port)
	proxy, err := NewProxy(reached, address, h.IP())
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
	return reached, nil
}

// proxyNet is the distance between the IP numbers of hosts and those of their proxies, in the third part.
const proxyNet = 100

func (r *run) proxy(h *deployment.Host, link deployment.Link) *Proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxies[h.ID][link]
}

// lock keeps starts and ends of a host's processes from crossing each other.
func (r *run) lock(h *deployment.Host, do func()) {
	r.mu.Lock()
	mutex := r.locks[h.ID]
	r.mu.Unlock()
	mutex.Lock()
	defer mutex.Unlock()
	do()
}

// check keeps an error of the harness as a broken promise: nothing it does may fail.
func (r *run) check(err error) {
	if err != nil {
		r.deployment.Checker.ReportViolation("harness: %v", err)
	}
}

// play strikes with all faults and waits until the last one has ended.
func (r *run) play(steps []Step) {
	begun := time.Now()
	var group sync.WaitGroup
	for _, step := range steps {
		group.Go(func() {
			if sleep(r.ctx, step.At-time.Since(begun)) {
				r.strike(step)
			}
		})
	}
	group.Wait()
}

func (r *run) strike(step Step) {
	f, h := faultNamed(step.Fault), r.deployment.Hosts[step.Host]
	index := r.struckNow(strike{fault: f, host: h.ID, from: time.Now()})
	f.begin(r, h)
	sleep(r.ctx, step.For)
	if f.end != nil {
		f.end(r, h)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck[index].to = time.Now()
}

func (r *run) struckNow(s strike) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck = append(r.struck, s)
	return len(r.struck) - 1
}

// heal ends what overlapping faults have left behind.
func (r *run) heal() {
	r.deployment.BringStoreUp()
	r.deployment.DelayStore(0)
	r.deployment.LoseStoreResponses(0)
	for _, h := range r.deployment.Hosts {
		_ = h.SignalDaemon(syscall.SIGCONT) // it may have ended
		mend(deployment.ToStore, deployment.ToServer, deployment.ToHop, deployment.ToControl)(r, h)
		startServer(r, h)
		startDaemon(r, h)
	}
}

// awaitServed waits until every daemon serves everything under the newest configuration, and tells how long that took.
func (r *run) awaitServed(most time.Duration) (time.Duration, error) {
	begun := time.Now()
	for {
		asked := time.Now()
		why := r.unserved()
		switch took := asked.Sub(begun); {
		case why == "":
			return took, nil
		case took > most:
			return took, &BrokenError{Promises: []string{"not served after " + took.String() + ": " + why}}
		}
		if !sleep(r.ctx, pollInterval) {
			return 0, r.ctx.Err()
		}
	}
}

// unserved returns what some daemon does not serve, or nothing.
func (r *run) unserved() string {
	r.mu.Lock()
	newest := r.version
	r.mu.Unlock()
	found := make(chan string, len(r.deployment.Hosts))
	for _, h := range r.deployment.Hosts {
		go func() { found <- r.unservedBy(h, newest) }()
	}
	missing := ""
	for range r.deployment.Hosts {
		if why := <-found; why != "" {
			missing = why
		}
	}
	return missing
}

func (r *run) unservedBy(h *deployment.Host, newest class.Version) string {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	status, err := h.Status(ctx)
	if err != nil {
		return string(h.ID) + ": " + err.Error()
	}
	if status.Config != newest {
		return fmt.Sprintf("%s has configuration %d, not %d", h.ID, status.Config, newest)
	}
	if why := r.deployment.FirstUnanswered(h); why != "" {
		return string(h.ID) + ": " + why
	}
	return ""
}

func (r *run) close() {
	if r.deployment != nil {
		r.deployment.Stop()
	}
	for _, proxies := range r.proxies {
		for _, p := range proxies {
			p.Close()
		}
	}
}
