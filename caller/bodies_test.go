package caller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
)

const (
	bodyBudget  = 1 << 20
	idleTimeout = 200 * time.Millisecond
)

// bulkConfig returns a configuration with bulk classes.
func bulkConfig() *class.Config {
	bulkClass := func(name class.Name, bulk class.Bulk, attempts int) class.Class {
		return class.Class{
			Name: name, Host: "h", Prefix: "/" + string(name) + "/", Destinations: destinationsOf("free"),
			Latency: 100 * time.Millisecond, Timeout: 2 * time.Second, Attempts: attempts,
			Idempotent: bulk != class.Upload, Bulk: bulk,
		}
	}
	return &class.Config{
		Version: 1,
		Classes: []class.Class{
			bulkClass("upload", class.Upload, 3),
			bulkClass("download", class.Download, 3),
			bulkClass("plain", class.NoBulk, 3),
		},
		Services: map[class.Service]class.ServiceSettings{"free": {}},
		Limits:   class.Limits{BodyBytes: 10 << 20, IdleTimeout: idleTimeout},
	}
}

// bulkHandler returns a handler with bulk classes and a budget for bodies.
func bulkHandler(s caller.Sender, o call.BodyObserver) (*caller.Handler, *link.Memory) {
	clock := clockwork.NewRealClock()
	relay, _ := newRelay(s, newRoutes(), clock)
	memory := link.NewMemory(32 << 20)
	memory.SetBudget(bodyBudget)
	handler := caller.NewHandler(relay, "own", call.DefaultHeaderNames(), func(caller.FinishedCall) {}, clock)
	handler.LimitMemory(memory)
	handler.ObserveBodies(o)
	handler.SetConfig(bulkConfig())
	return handler, memory
}

// TestBulkCallsAreRejectedWithoutMemory guards against a daemon whose memory is filled by the bodies of calls. Bulk calls
// that do not fit have not run and have a Retry-After, and others are served.
func TestBulkCallsAreRejectedWithoutMemory(t *testing.T) {
	s := &scriptedSender{}
	rejected := 0
	observer := call.IgnoreBodies()
	observer.Rejected = func(class.RequestID, error) { rejected++ }
	handler, memory := bulkHandler(s, observer)
	send := func(path string, body io.Reader) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "http://h"+path, body)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	others := memory.Hold()
	others.Raise(bodyBudget * 3 / 4)
	unknownLength := func(n int) io.Reader { return io.MultiReader(bytes.NewReader(make([]byte, n))) }
	for name, c := range map[string]struct {
		path     string
		body     io.Reader
		isServed bool
	}{
		"upload":                 {path: "/upload/1", body: bytes.NewReader(make([]byte, 60<<10))},
		"short upload":           {path: "/upload/1", body: bytes.NewReader(make([]byte, 10))},
		"upload, unknown length": {path: "/upload/1", body: unknownLength(60 << 10)},
		"download":               {path: "/download/1", body: http.NoBody},
		"plain":                  {path: "/plain/1", body: bytes.NewReader(make([]byte, 1000)), isServed: true},
		"long plain":             {path: "/plain/1", body: bytes.NewReader(make([]byte, 60<<10))},
		"long plain, unknown":    {path: "/plain/1", body: unknownLength(60 << 10)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sent, before := len(s.calls), rejected
			w := send(c.path, c.body)
			if c.isServed {
				g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
				return
			}
			g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
			retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(retryAfter).To(gomega.BeNumerically("~", 0.4, 0.21))
			g.Expect(s.calls).To(gomega.HaveLen(sent), "it has not run")
			g.Expect(rejected).To(gomega.Equal(before + 1))
		})
	}
	g := gomega.NewWithT(t)
	others.Release()
	g.Expect(memory.Usage().Held).To(gomega.BeZero(), "the bodies of ended calls do not count")
	g.Expect(send("/upload/1", bytes.NewReader(make([]byte, 60<<10))).Code).To(gomega.Equal(http.StatusOK))
	memory.SetBudget(0)
	others.Raise(100 * bodyBudget)
	g.Expect(send("/download/1", http.NoBody).Code).To(gomega.Equal(http.StatusOK), "without a budget all are served")
}

// heldSender returns a response of the given size and records what bodies take while a call runs.
type heldSender struct {
	memory *link.Memory
	size   int
	held   []int64
}

func (s *heldSender) Send(context.Context, *caller.Server, call.Call) call.Result {
	s.held = append(s.held, s.memory.Usage().Held)
	return call.Result{Outcome: class.Answered, Status: http.StatusOK, Body: make([]byte, s.size)}
}

// TestResponsesAreDeliveredWithoutMemory guards against a response that is dropped after the server has given it: the
// budget is used up while the call runs.
func TestResponsesAreDeliveredWithoutMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &heldSender{size: 300 << 10}
	handler, memory := bulkHandler(s, call.IgnoreBodies())
	s.memory = memory
	others := memory.Hold()
	others.Raise(bodyBudget / 2)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/download/1", http.NoBody))
	g.Expect(w.Body.Len()).To(gomega.Equal(s.size))
	w = httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/upload/1", bytes.NewReader(make([]byte, 60_000))))
	g.Expect(w.Body.Len()).To(gomega.Equal(s.size))
	g.Expect(s.held).To(gomega.Equal([]int64{bodyBudget/2 + 128<<10, bodyBudget/2 + 60_000}))
}

// TestUnreadResponsesAreGivenUp guards against callers that do not read their responses and so keep memory for ever.
func TestUnreadResponsesAreGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &heldSender{size: 32 << 20} // more than the buffers of a connection take
	unread := make(chan int, 1)
	observer := call.IgnoreBodies()
	observer.Unread = func(_ class.RequestID, bytes int, _ time.Duration) { unread <- bytes }
	handler, memory := bulkHandler(s, observer)
	s.memory = memory
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /download/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int64 { return memory.Usage().Held }, "2s").Should(gomega.BeNumerically(">=", s.size))
	g.Eventually(unread, "2s").Should(gomega.Receive(gomega.Equal(s.size)))
	g.Eventually(func() int64 { return memory.Usage().Held }, "2s").Should(gomega.BeZero())
}

// TestReadTimeoutConcernsOneResponse guards against a connection that is closed between two responses, or while a request
// is sent slowly, because the time to read an earlier response has passed.
func TestReadTimeoutConcernsOneResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &heldSender{size: 90_000}
	handler, memory := bulkHandler(s, call.IgnoreBodies())
	s.memory = memory
	server := httptest.NewServer(handler)
	defer server.Close()
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/upload/1", bytes.NewReader(make([]byte, 10)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Host = "h"
		request.Header.Set("Expect", "100-continue")
		response, err := server.Client().Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		g.Expect(body).To(gomega.HaveLen(s.size))
		time.Sleep(2 * idleTimeout) // the deadline of a connection is measured by the operating system's clock
	}
}
