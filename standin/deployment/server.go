package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

const (
	// heartbeatInterval is the interval at which stand-in servers send heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// releaseHeartbeatDelay is the delay of the next heartbeat after a response that no longer granted held keys, so
	// that their release is reported early.
	releaseHeartbeatDelay = 30 * time.Millisecond
	// heartbeatTimeout bounds the wait for the response to a heartbeat.
	heartbeatTimeout = time.Second
	// concurrency is the number of requests that a stand-in server executes at a time.
	concurrency = 6
	// processingTime is the time that the execution of a request takes.
	processingTime = 5 * time.Millisecond
	// maxQueued is the number of requests that may wait for a slot.
	maxQueued = 24
)

// keyHold is a server's hold on a key: when it expires, and the fence under which the key was granted.
type keyHold struct {
	until time.Time
	fence ownership.Fence
}

// Server is a stand-in backend server. It applies the responses to its heartbeats and executes requests, and reports
// both to the deployment's InvariantChecker.
type Server struct {
	Host    ownership.HostID
	domain  ownership.FailureDomain
	service class.Service
	isKeyed bool
	address string
	// advertisedAddress is the address at which the host's daemon reaches the server.
	advertisedAddress string
	heartbeatAddress  string
	instance          ownership.Instance
	checker           *InvariantChecker
	headers           call.HeaderNames
	slots             chan struct{}
	notices           notices
	warmup            warmup
	// onDeadly is called when the server has begun to run a request that crashes it.
	onDeadly func()

	mu    sync.Mutex
	holds keyspace.Map[keyHold]
	// acceptedFences holds the fence under which each key was granted last.
	acceptedFences keyspace.Map[ownership.Fence]
	// released lists the releases that the next heartbeat reports.
	released []ownership.Release
	sequence uint64
	draining bool
	// isDeregistered is set when the server has begun to announce its end without a drain.
	isDeregistered bool
	// drainAcknowledgedAt is when the daemon first acknowledged a heartbeat that announced the drain.
	drainAcknowledgedAt time.Time
	queued              int

	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	done     chan struct{}
}

// start makes the server listen and send heartbeats.
func (s *Server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &StartError{Component: "backend server " + s.address, Cause: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.listener = listener
	s.done = make(chan struct{})
	s.slots = make(chan struct{}, concurrency)
	s.notices = notices{instance: s.instance, checker: s.checker}
	s.warmup.instance, s.warmup.checker = s.instance, s.checker
	s.warmup.cool(s.warmup.settings.WarmupTime)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: heartbeatTimeout}
	go func() { _ = s.http.Serve(listener) }() // returns when crash closes the server
	go s.heartbeatLoop(ctx)
	return nil
}

// crash stops the server without a drain: its connections break, and its holds end.
func (s *Server) crash() {
	s.stop()
	_ = s.http.Close() // a crash reports no errors
	<-s.done
	s.checker.removeInstance(s.instance)
}

// Drain makes the server announce in its heartbeats that it drains.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// heartbeatLoop sends heartbeats until ctx ends.
func (s *Server) heartbeatLoop(ctx context.Context) {
	defer close(s.done)
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	delay := releaseHeartbeatDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = heartbeatInterval
		if s.sendHeartbeat(ctx, client) {
			delay = releaseHeartbeatDelay
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the response made the server release keys, in which case the
// next heartbeat follows after releaseHeartbeatDelay.
func (s *Server) sendHeartbeat(ctx context.Context, client *http.Client) bool {
	sent := time.Now()
	heartbeat := s.newHeartbeat()
	isDraining := heartbeat.IsDraining
	path, body, err := platform.EncodeHeartbeat(heartbeat)
	if err != nil {
		return false
	}
	data, ok := s.post(ctx, client, path, body)
	if !ok {
		return false // the next heartbeat repeats the same state
	}
	if isDraining {
		s.recordDrainAcknowledgment()
	}
	decoded, err := platform.DecodeHeartbeatResponse(data)
	if err != nil {
		return false
	}
	return s.applyResponse(decoded, sent)
}

// post sends a call to the host's daemon. It returns the body of the response, and whether the call succeeded.
func (s *Server) post(ctx context.Context, client *http.Client, path string, body []byte) ([]byte, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.heartbeatAddress+path,
		bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return data, err == nil && response.StatusCode == http.StatusOK
}

func (s *Server) recordDrainAcknowledgment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainAcknowledgedAt.IsZero() {
		s.drainAcknowledgedAt = time.Now()
	}
}

const (
	// drainTime is how long after the acknowledgment a draining server may receive requests. It equals the default of
	// the daemon's settings.
	drainTime = 2 * time.Second
	// drainTolerance is added to drainTime for requests in transit.
	drainTolerance = 300 * time.Millisecond
)

// checkDrainTime reports a violation if a request arrives too long after the daemon acknowledged the drain.
func (s *Server) checkDrainTime(id string) {
	s.mu.Lock()
	acknowledged := s.drainAcknowledgedAt
	s.mu.Unlock()
	if !acknowledged.IsZero() {
		s.checker.checkDrainTime(id, s.instance, acknowledged, "its leaving was acknowledged")
	}
}

// newHeartbeat returns the server's next heartbeat.
func (s *Server) newHeartbeat() ownership.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	heartbeat := ownership.Heartbeat{
		Instance:    s.instance,
		Address:     s.advertisedAddress,
		Service:     s.service,
		Concurrency: concurrency,
		Sequence:    s.sequence,
		IsDraining:  s.draining,
		Released:    s.released,
		WarmupLeft:  s.warmup.left(),
	}
	now := time.Now()
	for span, hold := range s.holds.Runs() {
		if hold.until.After(now) {
			heartbeat.Holds = append(heartbeat.Holds, ownership.Hold{Span: span, Fence: hold.fence})
		}
	}
	return heartbeat
}

// applyResponse applies the response to a heartbeat that was sent at the given time, and reports whether the server
// released keys. It releases the keys that it holds and that the response does not grant.
func (s *Server) applyResponse(response ownership.HeartbeatResponse, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = nil
	if response.HoldTime <= 0 {
		return false
	}
	// All grants are applied at one point in time, with the checker locked: a slow server that applied them one by
	// one would apply the last ones after they had expired.
	until := sent.Add(response.HoldTime)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	now := time.Now()
	if now.Sub(sent) > heartbeatTimeout || !until.After(now) {
		return false // too late: a hold runs from the time at which its heartbeat was sent
	}
	var granted keyspace.Map[bool]
	for _, g := range response.Grants {
		granted.Set(g.Span, true)
		if s.acceptsGrant(g) {
			s.holds.Set(g.Span, keyHold{until: until, fence: g.Fence})
			s.acceptedFences.Set(g.Span, g.Fence)
			s.checker.checkGrant(s.instance, g, until, now)
		} else {
			s.checker.addViolation("%s was given %d to %d under fence %d, below one it had",
				s.instance, g.Span.From, g.Span.To, g.Fence)
		}
	}
	holds := s.holds.Clone()
	for span, hold := range holds.Runs() {
		if !hold.until.After(now) {
			continue
		}
		for part, isGranted := range granted.Within(span) {
			if !isGranted {
				s.holds.Set(part, keyHold{})
				// The content of the handover token does not matter: stand-in servers do not check it.
				s.released = append(s.released, ownership.Release{Span: part, Handover: "warm"})
				s.checker.recordRelease(s.instance, part)
			}
		}
	}
	return len(s.released) > 0
}

// acceptsGrant reports whether the fence of a grant is at least as high as all fences accepted for its keys before.
func (s *Server) acceptsGrant(g ownership.Grant) bool {
	for _, fence := range s.acceptedFences.Within(g.Span) {
		if fence > g.Fence {
			return false
		}
	}
	return true
}

// ServeHTTP executes one request if it is addressed to this instance of the server and, for a keyed service, to a key
// that the server holds.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == s.warmup.settings.HealthPath {
		s.serveHealth(w)
		return
	}
	header := w.Header()
	id := r.Header.Get(s.headers.RequestID)
	header.Set(s.headers.RequestID, id)
	if expected := r.Header.Get(s.headers.ExpectedInstance); expected != "" && expected != s.instance.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if !s.warmup.arrive(id) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	s.checker.recordArrival(id, s.Host, s.domain)
	s.notices.state(id, header, s.headers)
	if s.warmup.isHanging() {
		hang(r)
	}
	if !s.acquireSlot(r) {
		if s.warmup.settings.WarmupRate > 0 {
			s.reportExcess(r, id)
			hang(r)
		}
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	key, err := strconv.Atoi(r.Header.Get(s.headers.Key))
	if s.isKeyed && (err != nil || !s.holdsKey(class.Key(key))) {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	s.checkDrainTime(id)
	s.checker.recordExecution(id, s.Host, r.Header.Get(s.headers.Origin))
	select {
	case <-time.After(processingTime):
	case <-r.Context().Done():
		return
	}
	if strings.HasSuffix(r.URL.Path, deadlyPath) {
		s.onDeadly()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	echo := Echo{Request: id, Host: s.Host, Instance: s.instance.ID}
	if strings.HasSuffix(r.URL.Path, largePath) {
		echo.Padding = strings.Repeat("x", largeBytes)
	}
	body, err := json.Marshal(echo)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set(s.headers.Signature, "signed-"+id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the daemon may have closed the connection
}

// deadlyPath is the end of the path of requests that crash the servers that run them.
const deadlyPath = "deadly"

// Echo is the body of a stand-in server's response. Callers use it to check that a response belongs to their request.
type Echo struct {
	Request  string           `json:"request"`
	Host     ownership.HostID `json:"host"`
	Instance string           `json:"instance"`
	Padding  string           `json:"padding,omitempty"`
}

// reject answers a request that was not executed.
func (s *Server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(s.headers.NotExecuted, "1")
	w.WriteHeader(status)
}

// acquireSlot waits for a free slot and reports whether it got one. It returns false at once if maxQueued requests
// wait already, and as soon as the request is canceled.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	isFull := s.queued >= maxQueued
	if !isFull {
		s.queued++
	}
	s.mu.Unlock()
	if isFull {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// holdsKey reports whether the server has an unexpired hold on a key.
func (s *Server) holdsKey(key class.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds.At(key).until.After(time.Now())
}
