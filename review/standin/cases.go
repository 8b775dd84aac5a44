package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startError reports a deployment that did not come up.
type startError struct{ what string }

func (e startError) Error() string { return e.what }

// heldKeys returns how many keys all backends that are up hold.
func (w *world) heldKeys() int {
	keys := 0
	for _, h := range w.hosts {
		h.backend.mu.Lock()
		if h.backend.isUp {
			for _, held := range h.backend.holds {
				if held.until.After(time.Now()) {
					keys++
				}
			}
		}
		h.backend.mu.Unlock()
	}
	return keys
}

// awaitStart waits until all daemons are ready and, if there are keys, all keys are held.
func (w *world) awaitStart(sharded bool) error {
	ok := await(30*time.Second, func() bool {
		for _, h := range w.hosts {
			if !w.isReady(h) {
				return false
			}
		}
		return !sharded || w.heldKeys() == keyCount
	})
	if !ok {
		return startError{"the deployment did not start"}
	}
	w.log("the deployment serves")
	return nil
}

// someKeys returns keys that the backend holds.
func (b *backend) someKeys(count int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []int
	for key, held := range b.holds {
		if held.until.After(time.Now()) && len(keys) < count {
			keys = append(keys, key)
		}
	}
	return keys
}

// awaitBeat waits for the next heartbeat.
func (b *backend) awaitBeat() {
	before := time.Now()
	await(5*time.Second, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.beaten.After(before)
	})
}

// playOwner: a backend of a sharded service leaves. It serves on after the acknowledgement, then it stops listening,
// ends the work that it has, and exits.
func playOwner(w *world, trouble trouble) error {
	w.configure(1, map[string]bool{"catalogue": true}, []route{
		{name: "render", prefix: "/render/", kind: "unsafe", service: "catalogue", timeout: 5000, target: 4000, attempts: 1},
	})
	for i := range 4 {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", 1+i%2), "catalogue", true); err != nil {
			return err
		}
	}
	if err := w.awaitStart(true); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.watchOverlaps(ctx, 500*time.Millisecond)
	leaving, client := w.hosts[0], w.hosts[1]
	b := leaving.backend
	for key := 0; key < keyCount; key += 4096 {
		w.send(client, http.MethodPost, "/render/first?ms=5", key, 1000)
	}
	time.Sleep(4 * time.Second)
	b.awaitBeat()
	var group sync.WaitGroup
	keys := b.someKeys(4)
	for _, key := range keys {
		group.Go(func() { w.send(client, http.MethodPost, "/render/x?ms=3800", key, 4800) })
	}
	time.Sleep(150 * time.Millisecond)
	if trouble != noTrouble && !b.deregister() {
		return startError{"the deregistration was not acknowledged"}
	}
	time.Sleep(2200 * time.Millisecond)
	if trouble == fullTrouble {
		_ = b.listener.Close()
		w.log("backend %s stops listening and ends its work", b.id)
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	for isWorking := true; isWorking; {
		for _, key := range keys {
			w.send(client, http.MethodPost, "/render/next?ms=5", key, 500)
		}
		select {
		case <-done:
			isWorking = false
		case <-time.After(100 * time.Millisecond):
		}
	}
	if trouble != noTrouble {
		b.crash("exits")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// counter counts the requests of clients and those that were served.
type counter struct {
	mu           sync.Mutex
	sent, served int
}

func (c *counter) add(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if a.status == http.StatusOK && a.signed {
		c.served++
	}
}

func (c *counter) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served) / float64(max(1, c.sent))
}

// press sends requests at an interval for a time and waits for their answers.
func press(interval, length time.Duration, send func(i int)) {
	var group sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-ticker.C
		group.Go(func() { send(i) })
	}
	group.Wait()
}

// playOrphans: all processes are killed, and the backends of one zone are lost for good at the same moment.
func playOrphans(w *world, trouble trouble) error {
	services := map[string]bool{"catalogue": true}
	browse := route{
		name: "browse", prefix: "/browse/", kind: "safe", service: "catalogue", timeout: 800, target: 200, attempts: 2,
	}
	w.configure(1, services, []route{browse})
	for i, zone := range []string{"z1", "z1", "z1", "z1", "z1", "z2"} {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), zone, "catalogue", true); err != nil {
			return err
		}
	}
	if err := w.awaitStart(true); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	measure := func(what string, length time.Duration) float64 {
		var c counter
		press(25*time.Millisecond, length, func(i int) {
			c.add(w.send(w.hosts[i%len(w.hosts)], http.MethodGet, fmt.Sprintf("/browse/%d?ms=10", i), i*7919%keyCount, 800))
		})
		w.log("%s: %d of %d requests are served", what, c.served, c.sent)
		return c.share()
	}
	before := measure("before the fault", 5*time.Second)
	browse.timeout = 900
	w.configure(2, services, []route{browse})
	if trouble == fullTrouble || trouble == killsOnly {
		for _, h := range w.hosts {
			w.killDaemon(h)
		}
	}
	if trouble == fullTrouble || trouble == crashesOnly {
		for _, h := range w.hosts[:5] {
			h.backend.crash("is lost for good")
		}
	}
	time.Sleep(600 * time.Millisecond)
	if trouble == fullTrouble || trouble == killsOnly {
		for _, h := range w.hosts {
			if err := w.startDaemon(h); err != nil {
				return err
			}
		}
	}
	time.Sleep(recoveryTime)
	after := measure("later than recovery_s after the machines are back", 30*time.Second)
	if before >= 0.25 && after < 0.25 {
		w.breaks("%.3f of the requests are served after the recovery, %.3f were before", after, before)
	}
	return nil
}

// recoveryTime is recovery_s.
const recoveryTime = 15 * time.Second

// playDrain: a backend leaves, its daemon is killed and starts again, and a heartbeat from before arrives late.
func playDrain(w *world, trouble trouble) error {
	w.configure(1, map[string]bool{"workshop": false}, []route{
		{name: "book", prefix: "/book/", kind: "unsafe", service: "workshop", timeout: 600, target: 150, attempts: 1},
	})
	for i := range 3 {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i+1), "workshop", false); err != nil {
			return err
		}
	}
	if err := w.awaitStart(false); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	leaving := w.hosts[0]
	b := leaving.backend
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(6 * time.Millisecond):
			}
			group.Go(func() { w.send(w.hosts[i%3], http.MethodPost, fmt.Sprintf("/book/%d?ms=42", i), -1, 600) })
		}
	})
	b.awaitBeat()
	time.Sleep(1200 * time.Millisecond)
	b.cancel()
	late := b.body()
	w.log("backend %s sends a heartbeat, which is held up on its way", b.id)
	time.Sleep(300 * time.Millisecond)
	if !b.deregister() {
		return startError{"the deregistration was not acknowledged"}
	}
	acknowledged := time.Now()
	time.Sleep(500 * time.Millisecond)
	restarted := time.Time{}
	if trouble == fullTrouble {
		w.killDaemon(leaving)
		time.Sleep(500 * time.Millisecond)
		if err := w.startDaemon(leaving); err != nil {
			return err
		}
		restarted = time.Now()
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	w.mu.Lock()
	w.onRun = func(at *backend, id string) {
		inTouch := restarted.IsZero() || time.Since(restarted) > stableWindow
		if at == b && time.Since(acknowledged) > drainTime && inTouch {
			w.breaks("%s reaches %s %d ms after its leaving was acknowledged, by machines in touch", id, b.id,
				time.Since(acknowledged).Milliseconds())
		}
	}
	w.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	status, _ := b.post("heartbeat", late)
	w.log("the heartbeat that was held up arrives: status %d", status)
	time.Sleep(8 * time.Second)
	b.crash("exits")
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	return nil
}

const (
	// drainTime is drain_ms, and stableWindow is stable_window_ms.
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// playQuarantine: all backends of a service crash at the same moment and come back.
func playQuarantine(w *world, trouble trouble) error {
	services := map[string]bool{"workshop": false}
	first := route{
		name: "proof", prefix: "/proof/", kind: "safe", service: "workshop", timeout: 800, target: 200, attempts: 2,
	}
	second := first
	second.name, second.prefix = "prices", "/prices/"
	w.configure(1, services, []route{first})
	for i := range 3 {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i+1), "workshop", false); err != nil {
			return err
		}
	}
	if err := w.awaitStart(false); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	w.configure(2, services, []route{first, second})
	time.Sleep(3 * time.Second)
	var onFirst, onSecond *counter
	play := func(what string, length time.Duration) {
		onFirst, onSecond = &counter{}, &counter{}
		f, s := onFirst, onSecond
		press(10*time.Millisecond, length, func(i int) {
			h := w.hosts[i/2%len(w.hosts)]
			if i%2 == 0 {
				f.add(w.send(h, http.MethodGet, fmt.Sprintf("/proof/%d?ms=60", w.nextID.Add(1)), -1, 800))
			} else {
				s.add(w.send(h, http.MethodGet, "/prices/today?ms=60", -1, 800))
			}
		})
		w.log("%s: %d of %d requests on the first route are served, %d of %d on the one that was added", what, f.served,
			f.sent, s.served, s.sent)
	}
	var group sync.WaitGroup
	group.Go(func() { play("before and during the fault", 8*time.Second) })
	time.Sleep(3 * time.Second)
	if trouble == fullTrouble {
		for _, h := range w.hosts {
			group.Go(func() { h.backend.crash("crashes") })
		}
		time.Sleep(4500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := w.startBackend(h, false, time.Now()); err != nil {
				return err
			}
		}
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	play("in steady state", 45*time.Second)
	if onSecond.sent >= 20 && onSecond.share() < onFirst.share()/4 {
		w.breaks("in steady state, %.3f of the requests on the route that was added are served, and %.3f on the first one",
			onSecond.share(), onFirst.share())
	}
	return nil
}

// playPath: a client sends a path that begins with two slashes and has an escaped character.
func playPath(w *world, trouble trouble) error {
	w.configure(1, map[string]bool{"catalogue": false}, []route{
		{name: "browse", prefix: "/", kind: "safe", service: "catalogue", timeout: 800, target: 200, attempts: 1},
	})
	for i := range 2 {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), "z1", "catalogue", false); err != nil {
			return err
		}
	}
	if err := w.awaitStart(false); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	target := "/menus/fried%20fish"
	if trouble == fullTrouble {
		target = "/" + target
	}
	for i := range 20 {
		w.send(w.hosts[i%2], http.MethodGet, target, -1, 800)
	}
	return nil
}
