package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hangMachines = 4
	// hangWork, hangTarget, hangTimeout, hangDeadline and hangAttempts are those of `live-reading`.
	hangWork     = 120 * time.Millisecond
	hangTarget   = 500 * time.Millisecond
	hangTimeout  = 1500 * time.Millisecond
	hangDeadline = 3000 * time.Millisecond
	hangAttempts = 3
	// hangRate is the rate of requests at each machine. Each server has room for 50 a second.
	hangRate = 52.5
	// answerSlack is how much later than the timeout of its route a request may be answered.
	answerSlack = 500 * time.Millisecond
	// In each of the cycles, the servers shed shedShare of their requests for shedTime. The route for downloads is dropped
	// dropDelay after they have begun, and comes back after dropTime.
	cycles     = 11
	shedShare  = 0.55
	shedTime   = 750 * time.Millisecond
	dropDelay  = 100 * time.Millisecond
	dropTime   = 2800 * time.Millisecond
	cyclePause = 4000 * time.Millisecond
)

// overdue counts the requests that have no answer at their route's timeout, and half a second later.
type overdue struct{ sent, atTimeout, later atomic.Int64 }

// hang plays changes of the configuration that drop the only route for downloads, while the servers shed requests. PART
// leaves all but the changes, or all but the shedding, out.
func hang(folder string, hasTrouble bool) (bool, error) {
	l, err := newLab(folder, hangMachines, hangWork, exportConfig(7, true))
	if err != nil {
		return false, err
	}
	defer l.endAll()
	if err := l.startAll(); err != nil {
		return false, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var o overdue
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, m := range l.machines {
		running.Go(func() { l.openLoad(m, hangRate, stop, &o) })
	}
	time.Sleep(5 * time.Second)
	hasShedding := hasTrouble && os.Getenv("PART") != "changes"
	hasChanges := hasTrouble && os.Getenv("PART") != "shed"
	for cycle := range cycles {
		if hasShedding {
			l.shed()
		}
		time.Sleep(dropDelay)
		if hasChanges {
			l.change(exportConfig(8+2*cycle, false))
		}
		time.Sleep(dropTime)
		if hasChanges {
			l.change(exportConfig(9+2*cycle, true))
		}
		time.Sleep(cyclePause)
	}
	close(stop)
	running.Wait()
	l.log("RESULT: %d requests, %d without an answer at their timeout, %d of these without one %s later; half of them may be",
		o.sent.Load(), o.atTimeout.Load(), o.later.Load(), answerSlack)
	return 2*o.later.Load() > o.atTimeout.Load(), nil
}

// shed makes all servers shed a share of their requests for shedTime.
func (l *lab) shed() {
	l.log("TROUBLE: the servers shed %.2f of their requests for %s", shedShare, shedTime)
	for _, m := range l.machines {
		m.server.shed.Store(true)
		time.AfterFunc(shedTime, func() { m.server.shed.Store(false) })
	}
}

// change writes a configuration as the operator does.
func (l *lab) change(config map[string]any) {
	data, err := json.Marshal(config)
	if err != nil {
		return
	}
	l.log("TROUBLE: configuration %v, %d routes", config["version"], len(config["routes"].([]any)))
	l.store.put("op/config", data)
}

// exportConfig is a configuration with a route for downloads, or without.
func exportConfig(version int, hasExport bool) map[string]any {
	c := config()
	c["version"] = version
	lookup := c["routes"].([]any)[0].(map[string]any)
	lookup["target_latency_ms"], lookup["timeout_ms"] = hangTarget.Milliseconds(), hangTimeout.Milliseconds()
	lookup["attempts"] = hangAttempts
	if hasExport {
		c["routes"] = append(c["routes"].([]any), map[string]any{
			"name": "r-export", "host": hostName, "prefix": "/export/", "kind": "download", "timeout_ms": 2000,
			"target_latency_ms": 600, "priority": 2, "service": serviceName, "attempts": hangAttempts,
		})
	}
	return c
}

// openLoad sends requests at a rate, each on a connection of its own.
func (l *lab) openLoad(m *machine, rate float64, stop <-chan struct{}, o *overdue) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		calls.Go(func() { l.timedCall(m, o) })
	}
}

// timedCall sends a request and notes whether it has an answer in time.
func (l *lab) timedCall(m *machine, o *overdue) {
	c, err := dial(m)
	if err != nil {
		return
	}
	defer c.Close()
	o.sent.Add(1)
	id, answered := newRequestID(), make(chan outcome, 1)
	go func() { answered <- l.call(c, m, http.MethodGet, "/lookup/3", id, hangDeadline) }()
	timeout := time.After(hangTimeout)
	select {
	case <-answered:
		return
	case <-timeout:
	}
	o.atTimeout.Add(1)
	select {
	case <-answered:
	case <-time.After(answerSlack):
		o.later.Add(1)
		l.log("request %s at %s has no answer %s after its timeout", id, m.name, answerSlack)
	}
}
