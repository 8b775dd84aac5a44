package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots = 6
	serverQueue = 24
	// heartbeatInterval is heartbeat_interval_ms of the deployment.
	heartbeatInterval = 1500 * time.Millisecond
	// releaseDelay is the delay of the next heartbeat after the server has released keys.
	releaseDelay = 50 * time.Millisecond
	// crashDelay is how long a server works on a request that crashes it.
	crashDelay = 20 * time.Millisecond
	// crashTime is how long a crashed server is away.
	crashTime = 3 * time.Second
	// bookPath begins the paths of requests that may run once, and bookWork is how long a server works on one.
	bookPath = "/book/"
	bookWork = 150 * time.Millisecond
	// deadlyPath begins the paths of requests that crash the servers that run them.
	deadlyPath = "/lookup/deadly"
)

// backendServer is a stand-in for the backend server of one machine.
type backendServer struct {
	lab     *lab
	machine *machine
	work    time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	http     *http.Server
	slots    chan struct{}
	waiting  int
	isUp     bool
	stopBeat context.CancelFunc
	keys     heldKeys
	// shed is whether the server rejects shedShare of its requests although it has room.
	shed atomic.Bool
}

// start begins a new life of the server.
func (s *backendServer) start() error {
	listener, err := net.Listen("tcp", s.machine.app)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	s.born, s.seq = time.Now().UnixMilli(), 0
	s.keys = heldKeys{}
	s.slots, s.waiting = make(chan struct{}, serverSlots), 0
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.isUp, s.stopBeat = true, cancel
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go s.beats(ctx)
	s.lab.log("server of %s starts as %s", s.machine.name, s.id)
	return nil
}

// stop ends the server at once: its port refuses connections, and the open ones break.
func (s *backendServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUp {
		s.isUp = false
		s.stopBeat()
		_ = s.http.Close()
	}
}

// crash ends the server and starts it again after crashTime.
func (s *backendServer) crash() {
	s.lab.log("server %s of %s crashes", s.id, s.machine.name)
	s.stop()
	time.AfterFunc(crashTime, func() {
		if err := s.start(); err != nil {
			s.lab.log("server of %s doesn't start: %v", s.machine.name, err)
		}
	})
}

func (s *backendServer) beats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		delay := heartbeatInterval
		s.mu.Lock()
		s.seq++
		sentAt := time.Now()
		holds, released := s.keys.report(sentAt)
		body, _ := json.Marshal(map[string]any{
			"address": s.machine.app, "born": s.born, "holds": holds, "released": released,
			"info":   map[string]any{"service": serviceName, "version": "v1", "zone": s.machine.zone, "slots": serverSlots},
			"status": map[string]any{"state": "ready", "seq": s.seq, "warmup_left_ms": 0},
		})
		url := "http://" + s.machine.control + "/api/instances/" + s.id + "/heartbeat"
		s.mu.Unlock()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			data, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK && time.Since(sentAt) < time.Second {
				s.mu.Lock()
				hasReleased := s.keys.apply(data, sentAt)
				s.mu.Unlock()
				if hasReleased {
					delay = releaseDelay
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// enter takes a slot, or reports that the server is full or the deadline has passed.
func (s *backendServer) enter(ctx context.Context) (leave func(), ok bool) {
	s.mu.Lock()
	slots := s.slots
	if s.waiting >= serverQueue {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	requestID := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", requestID)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if key, err := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16); err == nil {
		s.mu.Lock()
		isHeld := s.keys.holds(time.Now(), uint16(key))
		s.mu.Unlock()
		if !isHeld {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadlineMS, _ := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadlineMS*float64(time.Millisecond)))
	defer cancel()
	isDeadly := strings.HasPrefix(r.URL.Path, deadlyPath)
	if isDeadly {
		s.lab.deadlyArrived(requestID, s.machine.name, id)
	}
	leave, ok := s.enter(ctx)
	if ok && s.shed.Load() && rand.Float64() < shedShare {
		leave()
		ok = false
	}
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	s.lab.ran(requestID)
	if isDeadly {
		time.Sleep(crashDelay)
		s.lab.deadlyCrashed(requestID, id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.workOn(r.URL.Path)):
	case <-ctx.Done():
		w.Header().Set("X-Response-Signature", "s."+requestID)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := append([]byte("answer to "+requestID+" "), body...)
	w.Header().Set("X-Response-Signature", "s."+requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// workOn returns how long the server works on a request.
func (s *backendServer) workOn(path string) time.Duration {
	if strings.HasPrefix(path, bookPath) {
		return bookWork
	}
	return s.work
}
