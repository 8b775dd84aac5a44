package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

const (
	// beatInterval is how often stand-in servers send heartbeats.
	beatInterval = 300 * time.Millisecond
	// releaseBeat is how soon a heartbeat follows an answer that left keys out.
	releaseBeat = 30 * time.Millisecond
	// beatTimeout bounds the wait for an answer to a heartbeat.
	beatTimeout = time.Second
	// places is how many requests a stand-in server runs at a time.
	places = 6
	// workTime is how long it works on one.
	workTime = 5 * time.Millisecond
	// queueLength is how many more it lets wait.
	queueLength = 24
)

// grip is what a server holds of a key.
type grip struct {
	until time.Time
	fence ownership.Fence
}

// Server is a backend server that obeys its orders and lets the deployment's ledger check them.
type Server struct {
	Host    ownership.HostID
	service class.Service
	isKeyed bool
	address string
	// reached is where its daemon finds it.
	reached  string
	control  string
	instance ownership.Instance
	ledger   *Ledger
	names    call.HeaderNames
	slots    chan struct{}

	mu       sync.Mutex
	holds    keyspace.Map[grip]
	seen     keyspace.Map[ownership.Fence]
	released []ownership.Release
	sequence uint64
	draining bool
	// drainHeard is when its daemon acknowledged that it leaves.
	drainHeard time.Time
	queued     int

	http *http.Server
	stop context.CancelFunc
	done chan struct{}
}

// start makes the server listen and send heartbeats.
func (s *Server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &StartError{What: "backend server " + s.address, Cause: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done = make(chan struct{})
	s.slots = make(chan struct{}, places)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: beatTimeout}
	go func() { _ = s.http.Serve(listener) }() // it ends with end
	go s.beatLoop(ctx)
	return nil
}

// end is a crash: connections break, and what it held ends with it.
func (s *Server) end() {
	s.stop()
	_ = s.http.Close() // a crash has nobody to tell
	<-s.done
	s.ledger.ended(s.instance)
}

// Drain makes the server say that it leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) beatLoop(ctx context.Context) {
	defer close(s.done)
	client := &http.Client{Timeout: beatTimeout}
	defer client.CloseIdleConnections()
	pause := releaseBeat
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = beatInterval
		if s.beat(ctx, client) {
			pause = releaseBeat
		}
	}
}

// beat sends one heartbeat and tells whether another should follow at once.
func (s *Server) beat(ctx context.Context, client *http.Client) bool {
	sent := time.Now()
	account := s.account()
	isLeaving := account.IsDraining
	path, body, err := platform.EncodeHeartbeat(account)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.control+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false // the next one tells the same
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	if isLeaving {
		s.hearDrain()
	}
	orders, err := platform.DecodeHeartbeatResponse(data)
	if err != nil {
		return false
	}
	return s.obey(orders, sent)
}

func (s *Server) hearDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainHeard.IsZero() {
		s.drainHeard = time.Now()
	}
}

const (
	// drainTime is how long after the acknowledgement a leaving server may get work, as the daemons' default settings say;
	// drainSlack is for what was on its way.
	drainTime  = 2 * time.Second
	drainSlack = 300 * time.Millisecond
)

// checkDrain keeps it as a broken promise when work comes too long after its daemon knew that it leaves.
func (s *Server) checkDrain(id string) {
	s.mu.Lock()
	heard := s.drainHeard
	s.mu.Unlock()
	if late := time.Since(heard); !heard.IsZero() && late > drainTime+drainSlack {
		s.ledger.Report("request %s reached %s %s after its leaving was acknowledged", id, s.instance, late)
	}
}

// account is what the server says of itself.
func (s *Server) account() ownership.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	beat := ownership.Heartbeat{
		Instance:   s.instance,
		Address:    s.reached,
		Service:    s.service,
		Places:     places,
		Sequence:   s.sequence,
		IsDraining: s.draining,
		Released:   s.released,
	}
	now := time.Now()
	for span, g := range s.holds.Runs() {
		if g.until.After(now) {
			beat.Holds = append(beat.Holds, ownership.Hold{Span: span, Fence: g.fence})
		}
	}
	return beat
}

// obey takes up orders and tells whether it has released something.
func (s *Server) obey(orders ownership.Orders, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = nil
	if orders.Hold <= 0 {
		return false
	}
	// All at one moment: a server that took orders row by row, slowly, would take the last ones after they had run out.
	until := sent.Add(orders.Hold)
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	now := time.Now()
	if now.Sub(sent) > beatTimeout || !until.After(now) {
		return false // taken too late: a hold counts from the sending of its heartbeat
	}
	var granted keyspace.Map[bool]
	for _, g := range orders.Grants {
		granted.Set(g.Span, true)
		if s.accepts(g) {
			s.holds.Set(g.Span, grip{until: until, fence: g.Fence})
			s.seen.Set(g.Span, g.Fence)
			s.ledger.granted(s.instance, g, until, now)
		} else {
			s.ledger.fail("%s was given %d to %d under fence %d, below one it had", s.instance, g.Span.From, g.Span.To, g.Fence)
		}
	}
	holds := s.holds.Clone()
	for span, g := range holds.Runs() {
		if !g.until.After(now) {
			continue
		}
		for part, isGranted := range granted.Within(span) {
			if !isGranted {
				s.holds.Set(part, grip{})
				s.released = append(s.released, ownership.Release{Span: part, Handover: "warm"})
				s.ledger.released(s.instance, part)
			}
		}
	}
	return len(s.released) > 0
}

// accepts refuses a grant under a fence that is below one that was seen.
func (s *Server) accepts(g ownership.Grant) bool {
	for _, fence := range s.seen.Within(g.Span) {
		if fence > g.Fence {
			return false
		}
	}
	return true
}

// ServeHTTP runs one request, if it is for this life of the server and for a key that it holds.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get(s.names.RequestID)
	header.Set(s.names.RequestID, id)
	if expected := r.Header.Get(s.names.ExpectedInstance); expected != "" && expected != s.instance.ID {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !s.enter(r) {
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	key, err := strconv.Atoi(r.Header.Get(s.names.Key))
	if s.isKeyed && (err != nil || !s.holdsKey(class.Key(key))) {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	s.checkDrain(id)
	s.ledger.ran(id, s.service, r.Header.Get(s.names.Origin))
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	body, err := json.Marshal(Echo{Request: id, Host: s.Host, Instance: s.instance.ID})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set(s.names.Signature, "signed-"+id)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a daemon that is gone cannot be told
}

// Echo is the body of a stand-in server's answer.
type Echo struct {
	Request  string           `json:"request"`
	Host     ownership.HostID `json:"host"`
	Instance string           `json:"instance"`
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(s.names.NotExecuted, "1")
	w.WriteHeader(status)
}

// enter waits for a place, unless too many wait.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	isFull := s.queued >= queueLength
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

func (s *Server) holdsKey(key class.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds.At(key).until.After(time.Now())
}
