package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	restoredMachines = 5
	// overlapLimit is how long two servers may hold the same keys.
	overlapLimit = 500 * time.Millisecond
	// rollGap is the time between the planned restarts of two daemons, and restartDelay that between the end of a daemon and
	// its next start.
	rollGap      = time.Second
	restartDelay = 300 * time.Millisecond
	sampleTime   = 10 * time.Millisecond
)

// overlaps watches which servers hold the same keys at the same time.
type overlaps struct {
	lab  *lab
	mu   sync.Mutex
	long time.Duration
	pair string
	keys int
}

// watch samples what all servers hold until stop is closed.
func (o *overlaps) watch(stop <-chan struct{}) {
	since := map[string]time.Time{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleTime):
		}
		now := time.Now()
		owner := make([]int, 1<<16)
		common := map[string]int{}
		for i, m := range o.lab.machines {
			s := m.server
			s.mu.Lock()
			if s.isUp && now.Before(s.keys.until) {
				for _, r := range s.keys.rows {
					for key := int(r.from); key <= int(r.to); key++ {
						if owner[key] != 0 {
							common[fmt.Sprintf("%s and %s", o.lab.machines[owner[key]-1].name, m.name)]++
						}
						owner[key] = i + 1
					}
				}
			}
			s.mu.Unlock()
		}
		for pair := range since {
			if common[pair] == 0 {
				o.lab.log("no key is held by both %s any more, after %s", pair, now.Sub(since[pair]).Round(time.Millisecond))
				delete(since, pair)
			}
		}
		o.mu.Lock()
		for pair, keys := range common {
			if _, isKnown := since[pair]; !isKnown {
				since[pair] = now
				o.lab.log("%d keys are held by both %s", keys, pair)
			}
			if lasted := now.Sub(since[pair]); lasted > o.long {
				o.long, o.pair, o.keys = lasted, pair, keys
			}
		}
		o.mu.Unlock()
	}
}

// restored plays a store that comes back from a copy, after keys have moved because two daemons were restarted as planned. Its
// header Store-Era is 0 until then, or FIRST_ERA.
func restored(folder string, hasTrouble bool) (bool, error) {
	l, err := newLab(folder, restoredMachines, 15*time.Millisecond, keyedConfig())
	if err != nil {
		return false, err
	}
	defer l.endAll()
	l.store.mu.Lock()
	l.store.era = 0
	if os.Getenv("FIRST_ERA") == "1" {
		l.store.era = 1
	}
	l.store.mu.Unlock()
	if err := l.startAll(); err != nil {
		return false, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	o := &overlaps{lab: l}
	running.Go(func() { o.watch(stop) })
	for _, m := range l.machines {
		running.Go(func() { l.keyedClient(m, stop) })
	}
	time.Sleep(12 * time.Second)
	l.log("the store is copied")
	from := l.store.copy()
	time.Sleep(500 * time.Millisecond)
	var rolled sync.WaitGroup
	for _, m := range []*machine{l.machines[1], l.machines[0]} {
		rolled.Go(func() { l.restartAsPlanned(m) })
		time.Sleep(rollGap)
	}
	rolled.Wait()
	time.Sleep(500 * time.Millisecond)
	if hasTrouble {
		l.log("TROUBLE: the store is away")
		l.store.setDown(true)
		time.Sleep(time.Second)
		l.store.restore(from)
		l.store.put("op/config", l.config)
		l.log("TROUBLE: the store is back from the copy; the operator's configuration is written again")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	running.Wait()
	l.log("RESULT: the longest time in which two servers held the same keys: %s (%s, %d keys); %s is allowed",
		o.long.Round(time.Millisecond), o.pair, o.keys, overlapLimit)
	return o.long > overlapLimit, nil
}

// restartAsPlanned stops a daemon as the platform does, and starts it again.
func (l *lab) restartAsPlanned(m *machine) {
	l.log("planned restart of the daemon of %s: SIGTERM", m.name)
	m.terminate()
	l.log("the daemon of %s has ended", m.name)
	time.Sleep(restartDelay)
	if err := m.startDaemon(); err != nil {
		l.log("the daemon of %s doesn't start: %v", m.name, err)
	}
}

// terminate sends SIGTERM to the daemon and waits for its end.
func (m *machine) terminate() {
	m.mu.Lock()
	process, ended := m.process, m.ended
	m.isWanted = false
	m.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		m.endDaemon()
	}
}

// keyedConfig is the operator's configuration with a service that is divided by key.
func keyedConfig() map[string]any {
	c := config()
	c["services"].([]any)[0].(map[string]any)["sharded"] = true
	return c
}

// keyedClient sends requests with random keys.
func (l *lab) keyedClient(m *machine, stop <-chan struct{}) {
	var c *clientConn
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(40+rand.IntN(40)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(m); err != nil {
				continue
			}
		}
		id := newRequestID()
		c.key = fmt.Sprint(rand.IntN(1 << 16))
		if o := l.call(c, m, http.MethodGet, "/lookup/1", id, callTimeout); o.err != nil {
			_ = c.Close()
			c = nil
		}
	}
}
