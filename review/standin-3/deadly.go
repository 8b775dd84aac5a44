package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// deadlyArrival is the arrival of the deadly request at a server.
type deadlyArrival struct {
	at      time.Time
	id      string
	machine string
}

func (l *lab) deadlyArrived(id, machine, instance string) {
	l.log("deadly request %s arrives at server %s of %s", id, instance, machine)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, deadlyArrival{at: time.Now(), id: id, machine: machine})
}

func (l *lab) deadlyCrashed(id, instance string) {
	l.log("deadly request %s crashes server %s", id, instance)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
}

const (
	// deadlyMachines is the number of machines of the script, and deadlyCopies at how many of them the request comes at a time.
	deadlyMachines = 8
	deadlyCopies   = 3
	// mostRetries is how many retries of a deadly request may reach servers once it has crashed the third.
	mostRetries = 3
	callTimeout = 800 * time.Millisecond
	// kills is how often all daemons are killed, and outage how long they are away.
	kills  = 2
	outage = 1150 * time.Millisecond
)

// deadly plays a request that crashes each server that begins to run it. It comes again in bouts. Before each of the later ones
// all daemons are killed, and start again.
func deadly(folder string, hasTrouble bool) (bool, error) {
	l, err := newLab(folder, deadlyMachines, 15*time.Millisecond, config())
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
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range l.machines {
		clients.Go(func() { l.ordinaryClient(m, stop) })
	}
	time.Sleep(2 * time.Second)
	l.log("first bout of the deadly request")
	l.bout(4)
	if l.crashCount() < 3 { // the rule counts from the third crash on
		l.log("%d crashes so far, another bout", l.crashCount())
		time.Sleep(30 * time.Second)
		l.bout(12)
	}
	crashed := l.crashCount()
	l.log("the deadly request has crashed %d servers", crashed)
	if crashed < 3 {
		close(stop)
		clients.Wait()
		l.log("fewer than three crashes: the rule doesn't apply")
		return false, nil
	}
	for range kills {
		time.Sleep(4 * time.Second)
		if hasTrouble {
			if err := l.killAll(); err != nil {
				return false, err
			}
		}
		time.Sleep(stableWindow + 2*time.Second)
		l.log("the deadly request comes again")
		l.bout(4)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return l.judgeDeadly(), nil
}

// killAll kills all daemons at the same moment, starts them again after outage, and waits until they are ready.
func (l *lab) killAll() error {
	l.log("TROUBLE: all daemons are killed at the same moment")
	var ends sync.WaitGroup
	for _, m := range l.machines {
		ends.Go(m.endDaemon)
	}
	ends.Wait()
	time.Sleep(outage)
	for _, m := range l.machines {
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	return l.awaitReady(10 * time.Second)
}

func (l *lab) crashCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)
}

// ordinaryClient sends requests that any server answers, on a kept connection.
func (l *lab) ordinaryClient(m *machine, stop <-chan struct{}) {
	var c *clientConn
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(80+rand.IntN(80)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(m); err != nil {
				continue
			}
		}
		if o := l.call(c, m, http.MethodGet, "/lookup/1", newRequestID(), callTimeout); o.err != nil {
			_ = c.Close()
			c = nil
		}
	}
}

// bout sends a number of times, one second apart, copies of the deadly request at several machines.
func (l *lab) bout(times int) {
	for range times {
		var copies sync.WaitGroup
		for _, i := range rand.Perm(len(l.machines))[:deadlyCopies] {
			m := l.machines[i]
			copies.Go(func() {
				c, err := dial(m)
				if err != nil {
					return
				}
				defer c.Close()
				id := newRequestID()
				o := l.call(c, m, http.MethodGet, deadlyPath, id, callTimeout)
				l.log("deadly request %s sent at %s: status %d, error %v", id, m.name, o.status, o.err)
			})
		}
		copies.Wait()
		time.Sleep(time.Second)
	}
}

// judgeDeadly counts the arrivals of the deadly request that were sent by machines in touch, later than the stable window
// after it had crashed the third server.
func (l *lab) judgeDeadly() bool {
	l.mu.Lock()
	third := l.crashes[2]
	counted := 0
	requests := map[string]bool{}
	for _, a := range l.arrivals {
		sent := l.sentAt[a.id]
		if sent.at.Sub(third) > stableWindow && sent.isInTouch {
			counted++
			requests[a.id] = true
		}
	}
	total := len(l.arrivals)
	l.mu.Unlock()
	l.log("RESULT: third crash at %.3f; %d arrivals of the deadly request, %d of them, of %d requests of clients, "+
		"sent by machines in touch later than %s after it; %d are allowed",
		third.Sub(l.start).Seconds(), total, counted, len(requests), stableWindow, mostRetries)
	return len(requests) > mostRetries // the stricter reading: each request of a client counts once
}
