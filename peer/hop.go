package peer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	hopPath        = "/hop"
	callHeader     = "Skylark-Call"
	answerHeader   = "Skylark-Answer"
	maxHeaderBytes = 64 << 10
	// hopDialTimeout bounds the making of a connection between hosts.
	hopDialTimeout = 250 * time.Millisecond
	// hopGrace is what an entry waits beyond the deadline for the owner's own word.
	hopGrace = 50 * time.Millisecond
)

// forwarded is what the owner has to know of a call besides its body.
type forwarded struct {
	ID          class.RequestID `json:"id"`
	Class       class.Name      `json:"class"`
	Key         class.Key       `json:"key,omitempty"`
	Slot        int             `json:"slot"`
	Method      string          `json:"method"`
	URI         string          `json:"uri"`
	Header      http.Header     `json:"header"`
	DeadlineUS  int64           `json:"deadline_us"`
	Idempotency string          `json:"idempotency,omitempty"`
	IsRepeat    bool            `json:"repeat,omitempty"`
}

// returned is what the entry has to know of an answer besides its body.
type returned struct {
	Outcome string      `json:"outcome"`
	Reason  string      `json:"reason"`
	Status  int         `json:"status"`
	Header  http.Header `json:"header,omitempty"`
	Host    string      `json:"host"`
	ID      string      `json:"id"`
}

// Owner runs forwarded calls.
type Owner interface {
	Run(ctx context.Context, c call.Call) call.Answer
}

// Classes finds the classes in force.
type Classes interface {
	Find(name class.Name) (class.Class, bool)
}

// HopClient forwards calls to the daemons that own their keys.
type HopClient struct {
	clock   clockwork.Clock
	maxBody int64
	http    *http.Client
}

// NewHopClient returns a client that reads answers up to maxBody bytes.
func NewHopClient(maxBody int64, clock clockwork.Clock) *HopClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:          protocols,
		DialContext:        (&net.Dialer{Timeout: hopDialTimeout}).DialContext,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: 500 * time.Millisecond,
			PingTimeout:     500 * time.Millisecond,
		},
	}
	return &HopClient{clock: clock, maxBody: maxBody, http: &http.Client{Transport: transport}}
}

// Send forwards a call to the daemon at an address and returns its answer, or what is known of it.
func (h *HopClient) Send(ctx context.Context, address string, c call.Call) call.Answer {
	var isSent atomic.Bool
	left := c.Deadline.Sub(h.clock.Now())
	if left <= 0 {
		return call.NotRun(call.Late)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, left+hopGrace)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Once the headers are out the owner may begin; before that it cannot.
		WroteHeaders: func() { isSent.Store(true) },
	})
	request, err := h.request(ctx, address, c, left)
	if err != nil {
		return call.NotRun(call.BadRequest)
	}
	response, err := h.http.Do(request)
	if err != nil {
		return broken(isSent.Load(), !h.clock.Now().Before(c.Deadline))
	}
	defer response.Body.Close()
	return h.read(response, c.ID)
}

// broken tells what a call without an answer may have done. An attempt that was given up early, because its daemon
// was lost, is like one to a daemon that cannot be reached.
func broken(isSent, isOver bool) call.Answer {
	switch {
	case !isSent && isOver:
		return call.NotRun(call.Late)
	case !isSent:
		return call.NotRun(call.Unreachable)
	case isOver:
		return call.Unknown(call.Interrupted)
	default:
		return call.Unknown(call.AnswerLost)
	}
}

func (h *HopClient) request(ctx context.Context, address string, c call.Call, left time.Duration) (*http.Request, error) {
	data, err := json.Marshal(forwarded{
		ID:          c.ID,
		Class:       c.Class.Name,
		Key:         c.Key,
		Slot:        c.Slot,
		Method:      c.Method,
		URI:         c.URI,
		Header:      c.Header,
		DeadlineUS:  left.Microseconds(),
		Idempotency: c.Idempotency,
		IsRepeat:    c.IsRepeat,
	})
	if err != nil {
		return nil, &MessageError{Method: callHeader, Reason: err.Error()}
	}
	body := backend.OnceBody(c.Body)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+hopPath, body)
	if err != nil {
		return nil, &MessageError{Method: callHeader, Reason: err.Error()}
	}
	request.ContentLength = int64(len(c.Body))
	request.Header.Set(callHeader, base64.StdEncoding.EncodeToString(data))
	return request, nil
}

// read takes the answer apart. One that is not whole, or not for this call, is unknown.
func (h *HopClient) read(response *http.Response, id class.RequestID) call.Answer {
	body, ok := backend.ReadWhole(response, h.maxBody)
	if !ok || response.StatusCode != http.StatusOK {
		return call.Unknown(call.AnswerLost)
	}
	var meta returned
	data, err := base64.StdEncoding.DecodeString(response.Header.Get(answerHeader))
	if err != nil || json.Unmarshal(data, &meta) != nil || meta.ID != string(id) {
		return call.Unknown(call.AnswerLost)
	}
	return call.Answer{
		Outcome: class.ParseOutcome(meta.Outcome),
		Reason:  call.ParseReason(meta.Reason),
		Status:  meta.Status,
		Header:  meta.Header,
		Body:    body,
		Host:    meta.Host,
	}
}

// HopHandler serves forwarded calls. Broken ones are reported and answered as not run.
func HopHandler(owner Owner, classes func() Classes, maxBody int64, clock clockwork.Clock, report func(error)) http.Handler {
	h := &hopHandler{owner: owner, classes: classes, maxBody: maxBody, clock: clock, report: report}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+hopPath, h.serve)
	return mux
}

type hopHandler struct {
	owner   Owner
	classes func() Classes
	maxBody int64
	clock   clockwork.Clock
	report  func(error)
}

func (h *hopHandler) serve(w http.ResponseWriter, r *http.Request) {
	c, err := h.decode(w, r)
	if err != nil {
		h.report(err)
		answerHop(w, c.ID, call.NotRun(call.BadRequest))
		return
	}
	answerHop(w, c.ID, h.owner.Run(r.Context(), c))
}

func (h *hopHandler) decode(w http.ResponseWriter, r *http.Request) (call.Call, error) {
	var f forwarded
	data, err := base64.StdEncoding.DecodeString(r.Header.Get(callHeader))
	if err != nil {
		return call.Call{}, &MessageError{Method: callHeader, Reason: err.Error()}
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return call.Call{}, &MessageError{Method: callHeader, Reason: err.Error()}
	}
	found, ok := h.classes().Find(f.Class)
	if !ok {
		return call.Call{ID: f.ID}, &MessageError{Method: callHeader, Reason: "unknown class " + string(f.Class)}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	if err != nil {
		return call.Call{ID: f.ID}, &MessageError{Method: callHeader, Reason: err.Error()}
	}
	return call.Call{
		ID:          f.ID,
		Class:       found,
		Key:         f.Key,
		Slot:        f.Slot,
		Method:      f.Method,
		URI:         f.URI,
		Header:      f.Header,
		Body:        body,
		Deadline:    h.clock.Now().Add(time.Duration(f.DeadlineUS) * time.Microsecond),
		Idempotency: f.Idempotency,
		IsRepeat:    f.IsRepeat,
	}, nil
}

func answerHop(w http.ResponseWriter, id class.RequestID, a call.Answer) {
	data, err := json.Marshal(returned{
		Outcome: a.Outcome.String(),
		Reason:  a.Reason.String(),
		Status:  a.Status,
		Header:  a.Header,
		Host:    a.Host,
		ID:      string(id),
	})
	if err != nil {
		panic(err) // a returned holds nothing that JSON refuses
	}
	w.Header().Set(answerHeader, base64.StdEncoding.EncodeToString(data))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.Body) // an entry that is gone cannot be told
}

// NewHopServer returns the HTTP/2 server for forwarded calls.
func NewHopServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:        handler,
		Protocols:      protocols,
		MaxHeaderBytes: 2 * maxHeaderBytes,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: 5000},
	}
}
