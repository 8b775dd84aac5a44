package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// keyCount is the number of keys of a sharded service.
const keyCount = 65536

// backend is one life of a backend. It answers as PROTOCOL.md says.
type backend struct {
	h     *host
	id    string
	born  int64
	slots int

	server   *http.Server
	done     chan struct{}
	free     chan struct{}
	isClosed atomic.Bool

	mu  sync.Mutex
	seq uint64
	// isSilent ends the heartbeats.
	isSilent bool
	// fences holds the fence of each key that the backend holds until the end of until, or zero. seen holds the highest
	// fence seen for each key, and working the number of requests that run for it.
	fences, seen []uint64
	working      []int
	until        time.Time
	released     [][3]any
}

// work returns what a backend does for a request: how long it takes, and whether the backend crashes then.
var work = func(*backend, *http.Request) (time.Duration, bool) { return 30 * time.Millisecond, false }

// onRun is called when a backend begins to run a request, and onHold after each answer to a heartbeat that states holds,
// with the keys that the backend has newly taken.
var (
	onRun  = func(*backend, *http.Request) {}
	onHold = func(b *backend, taken []int) {}
)

func (h *host) startBackend() {
	h.mu.Lock()
	h.lives++
	b := &backend{
		h: h, id: fmt.Sprintf("i-%s-%d", h.name, h.lives), born: time.Now().UnixMilli(), slots: 6, done: make(chan struct{}),
		fences: make([]uint64, keyCount), seen: make([]uint64, keyCount), working: make([]int, keyCount),
	}
	b.free = make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	h.backend = b
	h.mu.Unlock()
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", h.addr(appPort)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		h.w.note("backend %s cannot listen: %v", b.id, err)
		return
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.beat()
}

// crash ends the backend at once, with all its connections.
func (b *backend) crash() {
	if b.isClosed.CompareAndSwap(false, true) {
		close(b.done)
		_ = b.server.Close()
	}
}

// begin begins a request for a key, if the backend holds it.
func (b *backend) begin(key int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !time.Now().Before(b.until) || b.fences[key] == 0 {
		return false
	}
	b.working[key]++
	return true
}

func (b *backend) end(key int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.working[key]--
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(421)
		return
	}
	deadline := time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	over := time.After(deadline)
	select {
	case <-b.free:
	case <-over:
		refuse(503)
		return
	case <-r.Context().Done():
		return
	case <-b.done:
		return
	}
	defer func() { b.free <- struct{}{} }()
	if b.h.keyed {
		key, err := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
		if err != nil || !b.begin(int(key)) {
			refuse(421)
			return
		}
		defer b.end(int(key))
	}
	onRun(b, r)
	took, isCrash := work(b, r)
	status := 200
	select {
	case <-time.After(took):
	case <-over:
		status = 504
	case <-r.Context().Done():
		return
	case <-b.done:
		return
	}
	if isCrash {
		b.crash()
		return
	}
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer to %s by %s", id, b.id)
}

// beat sends heartbeats until the backend ends.
func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second}
	// The heartbeats of different backends are not in step.
	select {
	case <-time.After(rand.N(beatInterval)):
	case <-b.done:
	}
	for !b.isClosed.Load() {
		pause := beatInterval
		if b.sendBeat(client) {
			pause = 90 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-b.done:
			return
		}
	}
}

// rows returns runs of keys with equal values, without those of value zero.
func rows(value func(key int) uint64) [][3]uint64 {
	found := [][3]uint64{}
	for key := 0; key < keyCount; key++ {
		v := value(key)
		if v == 0 {
			continue
		}
		if n := len(found); n > 0 && found[n-1][1]+1 == uint64(key) && found[n-1][2] == v {
			found[n-1][1]++
		} else {
			found = append(found, [3]uint64{uint64(key), uint64(key), v})
		}
	}
	return found
}

// encodeBeat returns the body of a heartbeat. The caller holds the lock.
func (b *backend) encodeBeat() []byte {
	beat := map[string]any{
		"address": b.h.addr(appPort), "born": b.born,
		"info":   map[string]any{"service": b.h.service, "zone": b.h.zone, "version": "v1", "slots": b.slots},
		"status": map[string]any{"state": "ready", "seq": b.seq, "warmup_left_ms": 0},
	}
	if b.h.keyed {
		isValid := time.Now().Before(b.until)
		beat["holds"] = rows(func(key int) uint64 {
			if isValid || b.working[key] > 0 {
				return b.fences[key]
			}
			return 0
		})
		if len(b.released) > 0 {
			beat["released"] = b.released
		}
	}
	data, _ := json.Marshal(beat)
	return data
}

// sendBeat sends a heartbeat and applies the answer. It reports whether the next one is due soon, because keys were
// released.
func (b *backend) sendBeat(client *http.Client) bool {
	b.mu.Lock()
	if b.isSilent {
		b.mu.Unlock()
		return false
	}
	b.seq++
	data := b.encodeBeat()
	b.mu.Unlock()
	sentAt := time.Now()
	r, err := client.Post("http://"+b.h.addr(controlPort)+"/api/instances/"+b.id+"/heartbeat", "application/json",
		bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode/100 != 2 || len(body) > 4096 || time.Since(sentAt) > time.Second {
		return false
	}
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return b.apply(answer.Holds, sentAt.Add(time.Duration(answer.HoldMS)*time.Millisecond))
}

func (b *backend) apply(granted *[][4]any, until time.Time) bool {
	b.mu.Lock()
	b.released = nil
	if granted == nil {
		b.mu.Unlock()
		return false
	}
	wasValid := time.Now().Before(b.until)
	next := make([]uint64, keyCount)
	for _, row := range *granted {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		isAccepted := true
		for key := from; key <= to; key++ {
			isAccepted = isAccepted && b.seen[key] <= fence
		}
		for key := from; key <= to && isAccepted; key++ {
			next[key], b.seen[key] = fence, fence
		}
	}
	var taken []int
	for key := range keyCount {
		if next[key] != 0 && (!wasValid || b.fences[key] == 0) {
			taken = append(taken, key)
		}
	}
	if wasValid {
		for _, row := range rows(func(key int) uint64 {
			if next[key] == 0 {
				return b.fences[key]
			}
			return 0
		}) {
			b.released = append(b.released, [3]any{row[0], row[1], fmt.Sprintf("%016x", time.Now().UnixNano())})
		}
	}
	b.fences, b.until = next, until
	isBusy := len(b.released) > 0
	b.mu.Unlock()
	onHold(b, taken)
	return isBusy
}
