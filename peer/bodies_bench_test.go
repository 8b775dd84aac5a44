package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// BenchmarkBulkHop measures a hop with the bodies of the usual bulk classes, and one without bodies.
func BenchmarkBulkHop(b *testing.B) {
	for name, c := range map[string]struct{ request, response int }{
		"none": {}, "upload": {request: 60_000}, "download": {response: 90_000},
	} {
		b.Run(name, func(b *testing.B) {
			clock := clockwork.NewRealClock()
			handler := receiver(fixedRunner{call.Result{
				Outcome: class.Answered, Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, c.response),
			}}, func(err error) { b.Error(err) })
			handler.Memory = link.NewMemory(32 << 20)
			server := httptest.NewServer(handler.Handler())
			defer server.Close()
			client := peer.NewHopClient(func() {}, clock, bootClock{})
			client.LimitMemory(link.NewMemory(32 << 20))
			body := make([]byte, c.request)
			b.ReportAllocs()
			for b.Loop() {
				result := client.Send(context.Background(), "h", server.Listener.Addr().String(), call.Call{
					ID: "1", Class: &class.Class{}, Service: "s", Header: http.Header{}, Method: http.MethodPost, URI: "/",
					Deadline: clock.Now().Add(time.Second), Body: body,
				})
				if result.Outcome != class.Answered || len(result.Body) != c.response {
					b.Fatalf("%+v", result.Reason)
				}
			}
		})
	}
}

// fixedRunner returns the same result for all calls.
type fixedRunner struct{ result call.Result }

// Run implements peer.CallRunner.
func (r fixedRunner) Run(context.Context, call.Call) call.Result { return r.result }
