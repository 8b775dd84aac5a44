package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const keyCount = 65536

// hold is a backend's hold on one key.
type hold struct {
	fence uint64
	until time.Time
}

// backend is a stand-in for one backend. It runs requests only for keys that it holds, and takes the duration of the
// work from the query of the request.
type backend struct {
	world   *world
	host    *host
	id      string
	born    int64
	sharded bool
	slots   chan struct{}

	mu       sync.Mutex
	seq      int
	state    string
	holds    map[int]hold
	highest  map[int]uint64
	released [][]any
	working  map[int]int
	isUp     bool
	// firstBeat is the pause before the first heartbeat, and beaten when the last one was acknowledged.
	firstBeat time.Duration
	beaten    time.Time

	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
}

const slots = 6

// start makes the backend listen and send heartbeats.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.host.address(appPort))
	if err != nil {
		return err
	}
	b.listener, b.slots, b.isUp, b.state = listener, make(chan struct{}, slots), true, "ready"
	b.holds, b.highest, b.working = map[int]hold{}, map[int]uint64{}, map[int]int{}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go b.beat(ctx)
	b.world.log("backend %s on %s starts, born %d", b.id, b.host.name, b.born)
	return nil
}

// crash ends the backend: all connections break.
func (b *backend) crash(what string) {
	b.cancel()
	b.mu.Lock()
	b.isUp = false
	b.mu.Unlock()
	_ = b.server.Close()
	b.world.log("backend %s on %s %s", b.id, b.host.name, what)
}

// body returns the next heartbeat.
func (b *backend) body() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	holds := [][]uint64{}
	now := time.Now()
	for key := 0; key < keyCount; key++ {
		h, ok := b.holds[key]
		if !ok || !h.until.After(now) {
			continue
		}
		if n := len(holds); n > 0 && holds[n-1][1] == uint64(key-1) && holds[n-1][2] == h.fence {
			holds[n-1][1] = uint64(key)
		} else {
			holds = append(holds, []uint64{uint64(key), uint64(key), h.fence})
		}
	}
	released := b.released
	if released == nil {
		released = [][]any{}
	}
	data, _ := json.Marshal(map[string]any{
		"address": b.host.address(appPort), "born": b.born,
		"info":   map[string]any{"service": b.host.service, "version": "v1", "zone": b.host.zone, "slots": slots},
		"status": map[string]any{"state": b.state, "seq": b.seq, "warmup_left_ms": 0},
		"holds":  holds, "released": released,
	})
	return data
}

func (b *backend) post(path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + b.host.address(controlPort) + "/api/instances/" + b.id + "/" + path
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// beat sends heartbeats until the context ends.
func (b *backend) beat(ctx context.Context) {
	pause := b.firstBeat
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		sent := time.Now()
		status, data := b.post("heartbeat", b.body())
		pause = max(0, b.world.beat-time.Since(sent))
		if status/100 != 2 || time.Since(sent) > time.Second {
			continue
		}
		b.mu.Lock()
		b.beaten = sent
		b.mu.Unlock()
		if b.apply(data, sent) {
			pause = 50 * time.Millisecond
		}
	}
}

// apply applies the response to a heartbeat and reports whether keys are still to be released.
func (b *backend) apply(data []byte, sent time.Time) bool {
	var response struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if json.Unmarshal(data, &response) != nil || response.Holds == nil {
		return false
	}
	b.world.grants.Lock()
	defer b.world.grants.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = nil
	now, until := time.Now(), sent.Add(time.Duration(response.HoldMS)*time.Millisecond)
	granted := map[int]bool{}
	var taken []int
	for _, row := range *response.Holds {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		for key := from; key <= to; key++ {
			if b.highest[key] > fence {
				continue
			}
			if old, ok := b.holds[key]; !ok || !old.until.After(now) {
				taken = append(taken, key)
			}
			granted[key], b.highest[key] = true, fence
			b.holds[key] = hold{fence: fence, until: until}
		}
	}
	isReleasing := false
	for key, h := range b.holds {
		switch {
		case granted[key]:
		case !h.until.After(now):
			delete(b.holds, key)
		case b.working[key] > 0:
			isReleasing = true
		default:
			delete(b.holds, key)
			b.released = append(b.released, []any{key, key, "handover"})
			isReleasing = true
		}
	}
	b.released = mergeRows(b.released)
	if len(taken) > 0 {
		b.world.log("backend %s is given %d keys, held until +%d ms", b.id, len(taken), until.Sub(now).Milliseconds())
	}
	b.world.checkTaken(b, taken, now)
	return isReleasing
}

// mergeRows merges rows of single keys that are next to each other.
func mergeRows(rows [][]any) [][]any {
	keys := map[int]bool{}
	for _, row := range rows {
		keys[row[0].(int)] = true
	}
	var merged [][]any
	for key := 0; key < keyCount; key++ {
		if !keys[key] {
			continue
		}
		if n := len(merged); n > 0 && merged[n-1][1].(int) == key-1 {
			merged[n-1][1] = key
		} else {
			merged = append(merged, []any{key, key, "handover"})
		}
	}
	return merged
}

// deregister announces the end of the backend and stops its heartbeats. It reports whether that was acknowledged.
func (b *backend) deregister() bool {
	b.cancel()
	data, _ := json.Marshal(map[string]any{"born": b.born})
	status, _ := b.post("deregister", data)
	b.world.log("backend %s deregisters: status %d", b.id, status)
	return status/100 == 2
}

func (b *backend) holdsKey(key int) bool { return b.holds[key].until.After(time.Now()) }

func (b *backend) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		b.reject(w, id, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		b.reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(200 * time.Millisecond):
		b.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	key := -1
	if b.sharded {
		key, err = strconv.Atoi(r.Header.Get("X-Shard-Key"))
		b.mu.Lock()
		if err != nil || !b.holdsKey(key) {
			b.mu.Unlock()
			b.reject(w, id, http.StatusMisdirectedRequest)
			return
		}
		b.working[key]++
		b.mu.Unlock()
		defer func() {
			b.mu.Lock()
			b.working[key]--
			b.mu.Unlock()
		}()
	}
	b.world.ran(b, id, r.Method, r.RequestURI, key, len(body))
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	work, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-time.After(time.Duration(left) * time.Millisecond):
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Signature", "late."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		b.world.log("run of %s at %s ends: its connection closed", id, b.id)
		return
	}
	kb, _ := strconv.Atoi(r.URL.Query().Get("kb"))
	text := fmt.Sprintf("answer of %s to %s", b.id, id) + strings.Repeat(padding, kb)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
