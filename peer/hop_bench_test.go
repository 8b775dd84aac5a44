package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

type instantOwner struct{}

func (instantOwner) Run(context.Context, call.Call) call.Answer {
	return call.Answer{Outcome: class.Answered, Status: http.StatusOK, Body: []byte("gold")}
}

func benchmarkCall() call.Call {
	return call.Call{
		ID:       "id",
		Class:    class.Class{Name: "c"},
		Slot:     1,
		Method:   http.MethodGet,
		URI:      "/lots/L-1/certificate",
		Header:   http.Header{"Accept": {"application/json"}},
		Deadline: time.Now().Add(time.Hour),
	}
}

// BenchmarkHop is what a forwarded call costs between two daemons, both sides in one process.
func BenchmarkHop(b *testing.B) {
	clock := clockwork.NewRealClock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	set := class.Set{Classes: []class.Class{{Name: "c"}}}
	handler := peer.HopHandler(instantOwner{}, func() peer.Classes { return set }, 1<<20, clock, func(error) {})
	server := peer.NewHopServer(handler)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewHopClient(1<<20, clock)
	c := benchmarkCall()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if a := client.Send(context.Background(), listener.Addr().String(), c); a.Outcome != class.Answered {
				b.Error(a)
			}
		}
	})
}

// BenchmarkBackend is the same call made straight to a backend server.
func BenchmarkBackend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("gold")) }))
	defer server.Close()
	a := backend.Announcement{Address: server.Listener.Addr().String(), Slots: 6, Connections: 120}
	client := backend.NewClient(a, 1<<20, clockwork.NewRealClock())
	c := benchmarkCall()
	c.Class.Idempotent = true
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			order := backend.Order{Slot: 1, Deadline: time.Minute}
			if a := client.Do(context.Background(), c, order, time.Minute); a.Outcome != class.Answered {
				b.Error(a)
			}
		}
	})
}
