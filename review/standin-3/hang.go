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
	hangMachines = 2
	hangWork     = 60 * time.Millisecond
	// hangRate is the rate of requests at each machine. Each server has room for a hundred a second.
	hangRate = 180.0
	// routeTimeout is timeout_ms of the route, and answerSlack how much later an answer may come.
	routeTimeout = 1500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// shedShare is the share of the requests that the servers shed.
	shedShare = 0.55
	// The servers shed in windows of shedTime with pauses of shedPause. In each window the route is dropped drops times; it is
	// away for dropTime and back for backTime.
	windows   = 9
	shedTime  = 8 * time.Second
	shedPause = 600 * time.Millisecond
	drops     = 3
	dropTime  = 2100 * time.Millisecond
	backTime  = 300 * time.Millisecond
)

// overdue counts the requests that have no answer at their route's timeout, and half a second later.
type overdue struct{ sent, atTimeout, later atomic.Int64 }

// hang plays changes of the configuration that drop the only route for downloads, while the servers shed some requests. PART
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
	time.Sleep(3 * time.Second)
	hasShedding := hasTrouble && os.Getenv("PART") != "changes"
	hasChanges := hasTrouble && os.Getenv("PART") != "shed"
	version := 7
	for range windows {
		if hasShedding {
			l.log("TROUBLE: the servers shed %.2f of their requests for %s", shedShare, shedTime)
			for _, m := range l.machines {
				m.server.shed.Store(true)
				time.AfterFunc(shedTime, func() { m.server.shed.Store(false) })
			}
		}
		time.Sleep(shedTime - drops*(dropTime+backTime))
		for range drops {
			if hasChanges {
				version += 2
				l.change(exportConfig(version, false))
			}
			time.Sleep(dropTime)
			if hasChanges {
				l.change(exportConfig(version+1, true))
			}
			time.Sleep(backTime)
		}
		time.Sleep(shedPause)
	}
	close(stop)
	running.Wait()
	l.log("RESULT: %d requests, %d without an answer at their timeout, %d of these without one %s later; half of them may be",
		o.sent.Load(), o.atTimeout.Load(), o.later.Load(), answerSlack)
	return 2*o.later.Load() > o.atTimeout.Load(), nil
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
	c["routes"].([]any)[0].(map[string]any)["target_latency_ms"] = 800
	if hasExport {
		c["routes"] = append(c["routes"].([]any), map[string]any{
			"name": "r-export", "host": hostName, "prefix": "/export/", "kind": "download", "timeout_ms": 4000,
			"target_latency_ms": 600, "priority": 2, "service": serviceName, "attempts": 2,
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
	go func() { answered <- l.call(c, m, http.MethodGet, "/lookup/3", id, routeTimeout) }()
	timeout := time.After(routeTimeout)
	select {
	case <-answered:
		return
	case <-timeout:
	}
	o.atTimeout.Add(1)
	select {
	case <-answered:
	case <-time.After(answerSlack - 10*time.Millisecond):
		o.later.Add(1)
		l.log("request %s has no answer %s after its timeout", id, answerSlack)
	}
}
