package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectionMachines is the number of machines of the script. The first of them takes all requests.
	connectionMachines = 12
	connectionWork     = 46 * time.Millisecond
	// zoneRate is the rate of requests of a zone, and keptRate the part of it that comes on keptConns kept connections. Each
	// other request comes from a user with a connection of its own.
	zoneRate  = 352.0
	keptRate  = 240.0
	keptConns = 60
	// burstFactor and burstTime are those of the burst.
	burstFactor = 2.6
	burstTime   = 5500 * time.Millisecond
	// usualTime is how long the usual load lasts before the burst.
	usualTime = 8 * time.Second
	// userIdleTime is how long a user keeps an idle connection: four fifths of the configured idle timeout.
	userIdleTime = 12 * time.Second
	// bookTimeout is the deadline of the requests on kept connections.
	bookTimeout = 1500 * time.Millisecond
	// mostCut is how many requests from kept connections may be passed on and end without an answer.
	mostCut = 3
)

// users opens connections for single requests, and keeps them for userIdleTime.
type users struct {
	lab     *lab
	machine *machine
	opened  atomic.Int64
	failed  atomic.Int64
	stop    chan struct{}
	running sync.WaitGroup
}

// come lets users come at a rate for a time.
func (u *users) come(rate float64, lasting time.Duration) {
	begin := time.Now()
	for i := 0; time.Since(begin) < lasting; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		u.running.Go(u.one)
	}
}

func (u *users) one() {
	c, err := dial(u.machine)
	if err != nil {
		u.failed.Add(1)
		return
	}
	defer c.Close()
	u.opened.Add(1)
	if o := u.lab.call(c, u.machine, http.MethodGet, "/lookup/2", newRequestID(), callTimeout); o.err != nil {
		u.failed.Add(1)
		return
	}
	select {
	case <-u.stop:
	case <-time.After(userIdleTime):
	}
}

// connections plays many users that come at once, each with a connection of its own that it keeps for a while, as clients may.
func connections(folder string, hasTrouble bool) (bool, error) {
	l, err := newLab(folder, connectionMachines, connectionWork, config())
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
	target := l.machines[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var kept, cut atomic.Int64
	for range keptConns {
		clients.Go(func() { l.keptClient(target, stop, &kept, &cut) })
	}
	u := &users{lab: l, machine: target, stop: make(chan struct{})}
	l.log("usual load at %s: %.0f requests a second", target.name, zoneRate)
	u.come(zoneRate-keptRate, usualTime)
	l.log("%d users have come, %d without an answer", u.opened.Load(), u.failed.Load())
	if hasTrouble {
		l.log("TROUBLE: %.1f times as many requests, for %s", burstFactor, burstTime)
		u.come(burstFactor*zoneRate-keptRate, burstTime)
	} else {
		u.come(zoneRate-keptRate, burstTime)
	}
	l.log("%d users have come, %d without an answer", u.opened.Load(), u.failed.Load())
	u.come(zoneRate-keptRate, 2*time.Second)
	close(stop)
	clients.Wait()
	close(u.stop)
	u.running.Wait()
	target.mu.Lock()
	ends := target.ends
	target.mu.Unlock()
	l.log("RESULT: %d requests on kept connections; %d of them were passed on to a sound server and ended without an answer, %d are allowed; "+
		"the daemon ended by itself %d times", kept.Load(), cut.Load(), mostCut, ends)
	return cut.Load() > mostCut, nil
}

// keptClient sends requests on one connection and counts those that ran and got no answer.
func (l *lab) keptClient(m *machine, stop <-chan struct{}, kept, cut *atomic.Int64) {
	interval := time.Duration(keptConns / keptRate * float64(time.Second))
	time.Sleep(rand.N(interval)) // the clients don't send at the same moments
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var c *clientConn
	for {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-ticker.C:
		}
		if c == nil {
			var err error
			if c, err = dial(m); err != nil {
				continue
			}
		}
		id := newRequestID()
		isKept := c.sent > 0
		o := l.call(c, m, http.MethodPost, "/book/1", id, bookTimeout)
		if o.err != nil {
			_ = c.Close()
			c = nil
		}
		if !isKept {
			continue
		}
		kept.Add(1)
		l.mu.Lock()
		hasRun := l.runs[id] > 0
		l.mu.Unlock()
		if o.isCut && hasRun {
			cut.Add(1)
			l.log("request %s ran, and its kept connection ended without an answer: %v", id, o.err)
		}
	}
}
