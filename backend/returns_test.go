package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestKeyedReturns guards against calls with a key that are not recognised when they return as they were told, and against
// returns that are recognised in configurations that are not load-aware.
func TestKeyedReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, func(p *backend.Permit) { p.Concurrency = 1 })
	var returned []call.Result
	r.FollowReturns(call.NewReturns(clockwork.NewRealClock()), func(_ call.Call, result call.Result) {
		returned = append(returned, result)
	})
	r.SetLoadAware(true)
	keyed := func(uri string) call.Call {
		c := newCall(2 * time.Second)
		c.Class = &class.Class{Name: "brief", Latency: time.Millisecond}
		c.URI, c.Key, c.HasKey = uri, 9, true
		return c
	}
	done := make(chan call.Result, 1)
	go func() { done <- r.Run(context.Background(), keyed("/slow")) }()
	g.Eventually(func() int { return r.Load().Running }).Should(gomega.Equal(1))
	rejected := r.Run(context.Background(), keyed("/brief"))
	g.Expect(rejected.Reason).To(gomega.Equal(call.Overload))
	close(release)
	g.Expect((<-done).Outcome).To(gomega.Equal(class.Answered))

	time.Sleep(rejected.RetryAfter)
	g.Expect(r.Run(context.Background(), keyed("/brief")).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(r.Run(context.Background(), keyed("/brief")).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(returned).To(gomega.HaveLen(1))
	g.Expect(returned[0].Outcome).To(gomega.Equal(class.Answered))

	r.SetLoadAware(false)
	g.Expect(r.Run(context.Background(), keyed("/brief")).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(returned).To(gomega.HaveLen(1))
}
