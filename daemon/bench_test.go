package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// BenchmarkOwnCall is a call from entry to backend server and back where the entry owns the key, without the
// caller's side of HTTP.
func BenchmarkOwnCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("gold")) }))
	defer server.Close()
	s := settings.Settings{Host: "h", Ownership: settings.Ownership{Slots: 1024, Vouch: time.Second}, Timeline: settings.Timeline{Events: 4096}}
	s.Limits.BodyBytes = 1 << 20
	clock := clockwork.NewRealClock()
	d := New(s, hclog.NewNullLogger(), clock)
	classes := []class.Class{{
		Name: "lookup", Service: "s", Method: "GET", Path: "/lots/{key}", Rank: 1, Latency: 100 * time.Millisecond,
		Timeout: 2 * time.Second, Success: 0.99, Idempotent: true, Keyed: true,
	}}
	router, err := class.NewRouter(classes)
	if err != nil {
		b.Fatal(err)
	}
	d.entry.SetClasses(&caller.Classes{Set: class.Set{Classes: classes}, Router: router})
	d.entry.Open()
	d.control.gate.SetClasses(classes)
	d.control.gate.SetPlaces(6)
	d.control.runner.SetClient(backend.NewClient(backend.Announcement{
		Address: server.Listener.Addr().String(), Slots: 6, Connections: 120,
	}, 1<<20, clock))
	lease := backend.Lease{Until: clock.Now().Add(time.Hour), Fences: make([]backend.Fence, 1024), IsReady: true}
	record := &ownership.Record{Service: "s", Members: []ownership.Member{{Ref: ownership.Ref{Host: "h"}}}, Owners: make([]int16, 1024)}
	for slot := range lease.Fences {
		lease.Fences[slot] = 1
	}
	d.control.runner.SetLease(lease)
	d.control.table.Set(caller.Routes{"s": record})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w := httptest.NewRecorder()
			d.entry.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lots/L-1", nil))
			if w.Code != http.StatusOK {
				b.Error(w.Code, w.Body)
				return
			}
		}
	})
}
