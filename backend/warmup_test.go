package backend_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

var coldInstance = ownership.Instance{ID: "i-1", Born: 1}

func setWarmupLimit(p *backend.Permit) {
	p.ServerInstance, p.Warmup = coldInstance, admission.NewWarmupLimit(7.1, 1.5, 8)
}

// TestNewInstanceIsColdFromItsFirstCall guards against calls that reach a new instance before its limit is in force.
func TestNewInstanceIsColdFromItsFirstCall(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("")
	address := startServer(t, s.serve)
	r, _ := newRunner(address, setWarmupLimit)
	g.Expect(s.runCalls(r, 100*time.Millisecond)).To(gomega.BeNumerically(">", 30), "warm")
	p := backend.Permit{IsUsable: true, Instance: "i-1", Concurrency: 2, ColdUntil: time.Now().Add(time.Minute)}
	setWarmupLimit(&p)
	p.ServerInstance.Born = 2
	r.SetPermit(p, backend.NewClient(address, 2, headerNames, func() {}, clockwork.NewRealClock()))
	g.Expect(s.runCalls(r, 900*time.Millisecond)).To(gomega.BeNumerically("<=", 18))
	r.StateWarmup(coldInstance, backend.WarmupStatement{SentAfter: time.Now(), ArrivedAt: time.Now()})
	g.Expect(r.State().IsCold).To(gomega.BeTrue(), "the statement is of the instance before")
	r.StateWarmup(p.ServerInstance, backend.WarmupStatement{SentAfter: time.Now(), ArrivedAt: time.Now()})
	g.Expect(r.State().IsCold).To(gomega.BeFalse())
}

// TestBrokenConnectionLimitsTheServer guards against a flood at the next life of a server that restarted under the same
// instance ID, and checks that each call names the instance that it is meant for.
func TestBrokenConnectionLimitsTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	var isBreaking atomic.Bool
	var unnamed atomic.Int64
	s := newLimitedServer("")
	r, _ := newRunner(startServer(t, func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get(headerNames.ExpectedInstance) != coldInstance.ID {
			unnamed.Add(1)
		}
		if isBreaking.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		s.serve(w, request)
	}), setWarmupLimit)
	s.runCalls(r, 50*time.Millisecond)
	isBreaking.Store(true)
	r.Run(context.Background(), newCall(time.Second))
	g.Expect(r.Cold().IsSuspected).To(gomega.BeTrue())
	g.Expect(s.runCalls(r, 500*time.Millisecond)).To(gomega.BeNumerically("<=", 18))
	r.StateWarmup(coldInstance, backend.WarmupStatement{SentAfter: time.Now(), ArrivedAt: time.Now()})
	g.Expect(s.runCalls(r, 100*time.Millisecond)).To(gomega.BeNumerically(">", 30), "the server is warm")
	g.Expect(unnamed.Load()).To(gomega.BeZero())
}

// TestServersWithoutAColdRateAreNotLimited guards against new decisions for configurations that do not ask for them.
func TestServersWithoutAColdRateAreNotLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLimitedServer("")
	r, _ := newRunner(startServer(t, s.serve), func(p *backend.Permit) {
		p.ServerInstance, p.ColdUntil = coldInstance, time.Now().Add(time.Minute)
	})
	r.SuspectRestart(coldInstance, "test")
	g.Expect(r.Cold().IsSuspected).To(gomega.BeFalse())
	g.Expect(s.runCalls(r, 100*time.Millisecond)).To(gomega.BeNumerically(">", 30))
}

// TestHealthResponsesStateTheWarmup checks which health responses are statements: invalid ones leave the last in effect.
func TestHealthResponsesStateTheWarmup(t *testing.T) {
	g := gomega.NewWithT(t)
	var text atomic.Value
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if value := text.Load().(string); r.URL.Path == "/health" && value != "" {
			w.Header().Set(headerNames.Warmup, value)
		}
	})
	client := backend.NewClient(address, 2, headerNames, func() {}, clockwork.NewRealClock())
	for value, isValid := range map[string]bool{"2900": true, "0": true, "-1": false, "NaN": false, "600001": false, "x": false} {
		text.Store(value)
		statement, err := client.CheckWarmup(context.Background(), "/health")
		g.Expect(err == nil && statement != nil).To(gomega.Equal(isValid), value)
	}
	text.Store("")
	statement, err := client.CheckWarmup(context.Background(), "/health")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(statement).To(gomega.BeNil())
}
