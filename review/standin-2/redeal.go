package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sharedHold is the time for which two backends may hold the same keys.
const sharedHold = 500 * time.Millisecond

// holdChecker checks who holds which keys, from what the backends see.
type holdChecker struct {
	w  *world
	mu sync.Mutex
	// top holds the highest fence with which each backend has had each key.
	top map[*backend][]uint64
	// staleFences counts keys that a backend took with a fence which is not above one with which another had it.
	staleFences int
	// longest is the longest time for which two backends held the same key, and sharedKeys the keys held so for longer
	// than sharedHold.
	longest    time.Duration
	sharedKeys map[int]bool
}

func (c *holdChecker) taken(b *backend, taken []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.top[b] == nil {
		c.top[b] = make([]uint64, keyCount)
	}
	stale, example := 0, ""
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range taken {
		fence := b.fences[key]
		for other, top := range c.top {
			if other != b && top[key] >= fence && fence != 0 {
				stale++
				example = fmt.Sprintf("key %d with fence %d, %s had it with fence %d", key, fence, other.id, top[key])
				break
			}
		}
		c.top[b][key] = max(c.top[b][key], fence)
	}
	if stale > 0 {
		c.staleFences += stale
		c.w.note("%s takes %d keys with a fence that is not above all others, such as %s", b.id, stale, example)
	}
}

// watch measures for how long two backends hold the same keys, until done is closed.
func (c *holdChecker) watch(done chan struct{}) {
	since := map[int]time.Time{}
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		count := make([]uint8, keyCount)
		now := time.Now()
		for _, h := range c.w.hosts {
			b := h.backend
			b.mu.Lock()
			if now.Before(b.until) && !b.isClosed.Load() {
				for key, fence := range b.fences {
					if fence != 0 {
						count[key]++
					}
				}
			}
			b.mu.Unlock()
		}
		c.mu.Lock()
		for key, n := range count {
			if n < 2 {
				delete(since, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = now
			}
			held := now.Sub(since[key])
			c.longest = max(c.longest, held)
			if held > sharedHold && !c.sharedKeys[key] {
				if len(c.sharedKeys) == 0 {
					c.w.note("key %d has been held by two backends for %d ms", key, held.Milliseconds())
				}
				c.sharedKeys[key] = true
			}
		}
		c.mu.Unlock()
	}
}

// redeal restores the store from a copy that is older than the first assignment of the keys, and kills all daemons at
// the same moment. The rule is broken if two backends hold the same keys for longer than sharedHold, or if a backend takes
// a key with a fence that is not above all with which others had it.
func redeal(w *world, isTroubled bool) (bool, error) {
	for i := range 9 {
		w.addHost([]string{"z1", "z2", "z3"}[i%3], "catalogue", true)
	}
	checker := &holdChecker{w: w, top: map[*backend][]uint64{}, sharedKeys: map[int]bool{}}
	onHold = checker.taken
	work = func(*backend, *http.Request) (time.Duration, bool) {
		return time.Duration(45+rand.IntN(30)) * time.Millisecond, false
	}
	w.putConfig(3, []route{{"look", "/look/", "safe", "catalogue", 200, 800, 1, 2}}, map[string]bool{"catalogue": true})
	copied := w.store.copy()
	copiedAt := time.Now()
	w.note("the store is copied")
	for _, h := range w.hosts {
		if err := h.startDaemon(); err != nil {
			return false, err
		}
		h.startBackend()
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { checker.watch(done) })
	var answered, other atomic.Int64
	sleepUntil(copiedAt, 4)
	w.note("traffic begins")
	for _, h := range w.hosts {
		group.Go(func() { // 55 requests a second at each machine; 200 neighbouring keys get 0.43 of them
			c := newClient()
			for {
				select {
				case <-done:
					return
				case <-time.After(18 * time.Millisecond):
				}
				key := rand.IntN(keyCount)
				if rand.IntN(100) < 43 {
					key = 20000 + rand.IntN(200)
				}
				group.Go(func() {
					id := newID()
					status, _ := h.send(c, id, "GET", "/look/"+id, key, nil, 800*time.Millisecond)
					if status == 200 {
						answered.Add(1)
					} else {
						other.Add(1)
					}
				})
			}
		})
	}
	sleepUntil(copiedAt, 8)
	if isTroubled {
		w.store.setDown(true)
		w.note("the store is away")
		var kills sync.WaitGroup
		for _, h := range w.hosts {
			kills.Go(h.kill)
		}
		kills.Wait()
		w.note("all daemons were killed")
		time.Sleep(500 * time.Millisecond)
		w.store.restore(copied)
		w.note("the store is back from the copy, which is %d ms old", time.Since(copiedAt).Milliseconds())
		for _, h := range w.hosts {
			if err := h.startDaemon(); err != nil {
				return false, err
			}
		}
		w.note("all daemons were started again")
	}
	sleepUntil(copiedAt, 20)
	close(done)
	group.Wait()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	w.note("keys taken with a fence that is not above all others: %d; keys held by two backends for over %d ms: %d; "+
		"longest %d ms; requests answered %d, others %d", checker.staleFences, sharedHold.Milliseconds(),
		len(checker.sharedKeys), checker.longest.Milliseconds(), answered.Load(), other.Load())
	return checker.staleFences > 0 || len(checker.sharedKeys) > 0, nil
}
