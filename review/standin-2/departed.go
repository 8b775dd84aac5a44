package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is drain_ms of the bounds.
	drainTime = 2 * time.Second
	// servesOn is how long the backend serves after the acknowledgement of its deregistration.
	servesOn = 11 * time.Second
	// beatDelay is by how much the last heartbeat of the backend is late.
	beatDelay = 3 * time.Second
)

// departed plays a backend that deregisters, without a draining heartbeat before, while the store is down. All daemons are
// killed after the acknowledgement, and a heartbeat that the backend sent before its deregistration arrives late. The
// rule is broken if requests reach the backend later than drainTime after the acknowledgement, and later than stableWindow
// after the start of the daemons and the return of the store.
func departed(w *world, isTroubled bool) (bool, error) {
	for i := range 6 {
		w.addHost([]string{"z1", "z2", "z3"}[i%3], "workshop", false)
	}
	w.putConfig(3, []route{{"book", "/book/", "unsafe", "workshop", 150, 600, 1, 2}}, map[string]bool{"workshop": false})
	leaver := w.hosts[0]
	var mu sync.Mutex
	var ackedAt, calmAt time.Time
	late, counted := 0, 0
	onRun = func(b *backend, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if b.h != leaver || ackedAt.IsZero() || now.Sub(ackedAt) <= drainTime {
			return
		}
		late++
		if now.Sub(calmAt) > stableWindow {
			counted++
			if counted%20 == 1 {
				w.note("%s runs %s %d ms after the acknowledgement (%d so far)", b.id, r.URL.Path,
					now.Sub(ackedAt).Milliseconds(), counted)
			}
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	from := time.Now()
	w.note("traffic begins")
	done := make(chan struct{})
	var answered, lost, refused atomic.Int64
	var group sync.WaitGroup
	for _, h := range w.hosts {
		group.Go(func() {
			c := newClient()
			for {
				select {
				case <-done:
					return
				case <-time.After(40 * time.Millisecond):
				}
				group.Go(func() {
					id := newID()
					status, err := h.send(c, id, "POST", "/book/"+id, -1, []byte(id), 600*time.Millisecond)
					switch {
					case status == 200:
						answered.Add(1)
					case status == 503:
						refused.Add(1)
					default:
						lost.Add(1)
						w.note("%s at %s: status %d, %v", id, h.name, status, err)
					}
				})
			}
		})
	}
	sleepUntil(from, 4)
	b := leaver.backend
	held := b.holdBackBeat()
	heldAt := time.Now()
	w.note("%s sends a heartbeat, which is held up on its way", b.id)
	time.Sleep(200 * time.Millisecond)
	if isTroubled {
		w.store.setDown(true)
		w.note("the store is down")
		time.Sleep(300 * time.Millisecond)
	}
	status := b.deregister()
	mu.Lock()
	ackedAt = time.Now()
	mu.Unlock()
	w.note("%s deregisters, which its daemon acknowledges with %d", b.id, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the deregistration was answered with %d", status)
	}
	group.Go(func() {
		time.Sleep(servesOn)
		w.note("%s exits", b.id)
		b.crash()
	})
	if isTroubled {
		var kills sync.WaitGroup
		for _, h := range w.hosts {
			kills.Go(h.kill)
		}
		kills.Wait()
		w.note("all daemons were killed")
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.startDaemon(); err != nil {
				return false, err
			}
		}
		time.Sleep(700 * time.Millisecond)
		w.store.setDown(false)
		w.note("all daemons were started again, and the store is back")
	}
	mu.Lock()
	calmAt = time.Now()
	mu.Unlock()
	time.Sleep(time.Until(heldAt.Add(beatDelay)))
	w.note("the late heartbeat arrives and is answered with %d", held())
	sleepUntil(from, 19)
	close(done)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("requests that reached %s later than %d ms after the acknowledgement: %d, of these by machines in touch: %d; "+
		"answered %d, refused %d, lost %d", b.id, drainTime.Milliseconds(), late, counted, answered.Load(), refused.Load(),
		lost.Load())
	return counted > 0, nil
}

// holdBackBeat ends the heartbeats of the backend with one that is delivered only by the returned function, which returns
// the status of the answer.
func (b *backend) holdBackBeat() func() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isSilent = true
	b.seq++
	data := b.encodeBeat()
	return func() int { return b.post("heartbeat", data) }
}

// deregister announces the end of the backend and returns the status of the answer.
func (b *backend) deregister() int {
	return b.post("deregister", []byte(fmt.Sprintf(`{"born":%d}`, b.born)))
}

func (b *backend) post(call string, data []byte) int {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Post("http://"+b.h.addr(controlPort)+"/api/instances/"+b.id+"/"+call, "application/json",
		bytes.NewReader(data))
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
