// Package backend is a stand-in for a backend server, with switches for the faults of real ones.
package backend

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	wire "github.com/skylarkrelay/skylarkrelay/backend"
)

// Paths of the stand-in's own switches.
const (
	FaultPath  = "/standin/fault"
	RunsPath   = "/standin/runs"
	HealthPath = "/health"
)

// Fault says how the server misbehaves until the next Fault.
type Fault struct {
	// Freeze holds every order and grant without an answer.
	Freeze bool `json:"freeze"`
	// ShedShare refuses that part of the orders before they begin, from 0 to 1.
	ShedShare float64 `json:"shed_share"`
	// SlowFactor multiplies the service time; zero is one.
	SlowFactor float64 `json:"slow_factor"`
	// LateAnswerMS delays answers after the work has run, in milliseconds.
	LateAnswerMS int `json:"late_answer_ms"`
	// CutAnswers cuts that many answers short after the work has run.
	CutAnswers int `json:"cut_answers"`
	// DropAnswers closes that many connections after the work has run.
	DropAnswers int `json:"drop_answers"`
	// Sick makes the health endpoint say the opposite of the truth.
	Sick bool `json:"sick"`
}

// Options describe a server.
type Options struct {
	Name         string
	Slots        int
	ServiceTime  time.Duration
	ColdTime     time.Duration
	ColdFactor   float64
	ChecksFences bool
}

// Run is one order that ran.
type Run struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Times   int    `json:"times"`
}

// Server is the stand-in. It counts what it runs.
type Server struct {
	options Options
	clock   clockwork.Clock
	guard   *wire.Guard
	started time.Time

	mu     sync.Mutex
	fault  Fault
	thawed chan struct{}
	runs   map[string]*Run
	order  []string
}

// New returns a server.
func New(o Options, clock clockwork.Clock) *Server {
	return &Server{
		options: o,
		clock:   clock,
		guard:   wire.NewGuard(o.Slots, clock),
		started: clock.Now(),
		thawed:  make(chan struct{}),
		runs:    map[string]*Run{},
	}
}

// Guard returns the server's guard.
func (s *Server) Guard() *wire.Guard { return s.guard }

// Handler returns the server's HTTP side.
func (s *Server) Handler() http.Handler {
	work := http.Handler(http.HandlerFunc(s.work))
	if s.options.ChecksFences {
		work = s.guard.Handler(work)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+FaultPath, s.setFault)
	mux.HandleFunc("GET "+RunsPath, s.report)
	mux.HandleFunc("GET "+HealthPath, s.health)
	mux.Handle("/", s.faulty(work))
	return mux
}

// faulty applies the faults that strike before an order begins.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault, thawed := s.fault, s.thawed
		s.mu.Unlock()
		if fault.Freeze {
			// A frozen server has the bytes in its buffers and acts on them when it goes on.
			<-thawed
		}
		isOrder := r.URL.Path != wire.GrantPath
		if isOrder && fault.ShedShare > 0 && rand.Float64() < fault.ShedShare {
			wire.Refuse(w, &wire.RefusalError{Refusal: wire.Shed})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// work runs one order.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the order did not arrive whole
	}
	request := r.Header.Get(wire.RequestHeader)
	s.count(request, r)
	s.clock.Sleep(s.serviceTime())
	answer, err := json.Marshal(map[string]string{
		"server":  s.options.Name,
		"request": request,
		"method":  r.Method,
		"path":    r.URL.Path,
		"sent":    string(body),
	})
	if err != nil {
		panic(err) // a map of texts holds nothing that JSON refuses
	}
	s.answer(w, append(answer, '\n'))
}

func (s *Server) count(request string, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, known := s.runs[request]
	if !known {
		run = &Run{Request: request, Method: r.Method, Path: r.URL.Path}
		s.runs[request] = run
		s.order = append(s.order, request)
	}
	run.Times++
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	factor := s.fault.SlowFactor
	s.mu.Unlock()
	if factor == 0 {
		factor = 1
	}
	if age := s.clock.Since(s.started); age < s.options.ColdTime {
		factor *= s.options.ColdFactor
	}
	return time.Duration(float64(s.options.ServiceTime) * factor)
}

// answer applies the faults that strike after the work has run.
func (s *Server) answer(w http.ResponseWriter, body []byte) {
	s.mu.Lock()
	fault := s.fault
	isCut := fault.CutAnswers > 0
	isDropped := !isCut && fault.DropAnswers > 0
	if isCut {
		s.fault.CutAnswers--
	}
	if isDropped {
		s.fault.DropAnswers--
	}
	s.mu.Unlock()
	s.clock.Sleep(time.Duration(fault.LateAnswerMS) * time.Millisecond)
	if isDropped {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if isCut {
		w.Header().Set("Content-Length", itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2]) // the rest never comes
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // a daemon that is gone cannot be told
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Freeze && !fault.Freeze {
		close(s.thawed)
		s.thawed = make(chan struct{})
	}
	s.fault = fault
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs()) // the asker sees a cut body
}

// Runs returns what ran, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, 0, len(s.order))
	for _, request := range s.order {
		runs = append(runs, *s.runs[request])
	}
	return runs
}

// health tells whether the server is well, or lies.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	isWell := !s.fault.Freeze && s.fault.ShedShare == 0
	if s.fault.Sick {
		isWell = !isWell
	}
	s.mu.Unlock()
	if !isWell {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
