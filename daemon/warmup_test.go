package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

func warmupConfig(perSecond float64) *class.Config {
	return &class.Config{Version: 1, Services: map[class.Service]class.ServiceSettings{
		"s": {Name: "s", HealthPath: "/health", WarmupTime: 3 * time.Second, WarmupRate: perSecond},
	}}
}

// warmupControl returns a control without a control goroutine that has a heartbeat of its server.
func warmupControl(config *class.Config) (*control, func(sequence uint64, left time.Duration, err error) error) {
	s := testSettings()
	s.Warmup.Overage, s.Warmup.Slack = 1.5, 8
	c := New(s, Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()}).control
	c.config, c.epoch = config, 1
	return c, func(sequence uint64, left time.Duration, err error) error {
		now := ownership.Instant(time.Minute)
		failure := c.handleHeartbeat(now, ownership.Heartbeat{
			Instance: ownership.Instance{ID: "i", Born: 1}, Address: s.Backend.Address, Service: "s", Concurrency: 8,
			Sequence: sequence, WarmupLeft: left, WarmupErr: err,
		})
		c.updatePermit(now)
		c.server.client.Close()
		return failure
	}
}

// TestInvalidWarmupLeavesTheLastInEffect guards against a mistaken figure that frees a cold server or rejects a heartbeat,
// on which the server's keys depend.
func TestInvalidWarmupLeavesTheLastInEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	c, heartbeat := warmupControl(warmupConfig(7.1))
	g.Expect(heartbeat(1, 0, &call.WarmupError{Value: "-1"})).To(gomega.Succeed())
	g.Expect(c.runner.Cold().Left).To(gomega.Equal(3*time.Second), "a new instance counts as just started")
	g.Expect(heartbeat(2, time.Second, nil)).To(gomega.Succeed())
	g.Expect(heartbeat(3, 0, &call.WarmupError{Value: "-1"})).To(gomega.Succeed())
	g.Expect(c.runner.State().IsCold).To(gomega.BeTrue())
	g.Expect(c.observer.counter("refused_input").Count()).To(gomega.BeEquivalentTo(2))
	for figure, isValid := range map[string]bool{"2900": true, "null": true, "-1": false, "600001": false, `"x"`: false, "1e999": false} {
		handler := platform.HeartbeatHandler(warmupReceiver{func(h ownership.Heartbeat) {
			var invalid *call.WarmupError
			g.Expect(h.WarmupErr == nil).To(gomega.Equal(isValid), figure)
			g.Expect(errors.As(h.WarmupErr, &invalid)).To(gomega.Equal(!isValid), figure)
		}})
		response := httptest.NewRecorder()
		body := `{"address":"a","born":1,"info":{"service":"s","slots":8},"status":{"state":"ready","seq":1,"warmup_left_ms":` +
			figure + `}}`
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/api/instances/i/heartbeat", strings.NewReader(body)))
		g.Expect(response.Code).To(gomega.Equal(http.StatusOK), figure)
	}
}

// TestColdServersAreAnnounced guards against routes that do not show that a server has become cold in the middle of its
// life, and checks that they are not changed for it where the configuration has no rate for cold servers.
func TestColdServersAreAnnounced(t *testing.T) {
	for rate, result := range map[float64]membership.ApplyResult{7.1: membership.Changed, 0: membership.Repeated} {
		g := gomega.NewWithT(t)
		c, heartbeat := warmupControl(warmupConfig(rate))
		g.Expect(heartbeat(1, 0, nil)).To(gomega.Succeed())
		a := membership.Announcement{Host: "x", Epoch: 1, Sequence: 1, Service: "s", Concurrency: 8}
		c.applyAnnouncement(0, a)
		a.Sequence, a.WarmupMS = 2, 2000
		g.Expect(c.applyAnnouncement(0, a)).To(gomega.Equal(result))
		host, _ := c.roster.Get("x")
		g.Expect(c.coldShare(ownership.Instant(time.Second), &host) > 0).To(gomega.Equal(rate > 0))
		g.Expect(c.coldShare(ownership.Instant(3*time.Second), &host)).To(gomega.BeZero())
	}
}

type warmupReceiver struct{ check func(ownership.Heartbeat) }

func (r warmupReceiver) Heartbeat(
	_ context.Context, h ownership.Heartbeat,
) (ownership.HeartbeatResponse, error) {
	r.check(h)
	return ownership.HeartbeatResponse{}, nil
}
func (warmupReceiver) Deregister(context.Context, string, int64) error { return nil }
func (warmupReceiver) ReportError(error)                               {}

// TestBusyServersAreCheckedBetweenHeartbeats guards against a busy server that becomes cold and gets hundreds of requests
// before its next heartbeat. Without a rate for cold servers there are no checks.
func TestBusyServersAreCheckedBetweenHeartbeats(t *testing.T) {
	for _, perSecond := range []float64{7.1, 0} {
		g := gomega.NewWithT(t)
		var isCold atomic.Bool
		var checks atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			header := platform.Headers()
			if r.URL.Path == "/health" {
				checks.Add(1)
				w.Header().Set(header.Warmup, map[bool]string{true: "2500", false: "0"}[isCold.Load()])
				return
			}
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			w.Header().Set(header.Signature, "s")
		}))
		s := testSettings()
		s.Backend.Address = server.Listener.Addr().(*net.TCPAddr).String()
		s.Warmup.Overage, s.Warmup.Slack = 1.5, 8
		s.EvacuationTime = 0 // otherwise the first calls wait until the evacuations are known
		d := newDaemonWith(t, s, store.NewMemory(clockwork.NewRealClock()))
		ready := make(chan error)
		d.control.inbox <- func(now ownership.Instant) {
			d.control.config = warmupConfig(perSecond)
			err := d.control.handleHeartbeat(now, ownership.Heartbeat{
				Instance: ownership.Instance{ID: "i", Born: 1}, Address: s.Backend.Address, Service: "s", Concurrency: 8, Sequence: 1,
			})
			d.control.updatePermit(now)
			ready <- err
		}
		g.Expect(<-ready).To(gomega.Succeed())
		runs := func() (answered int) {
			for range 60 {
				c := call.Call{
					ID: class.RequestID(time.Now().String()), Class: &class.Class{Name: "c", Latency: 20 * time.Millisecond},
					Method: http.MethodGet, URI: "/x", Header: http.Header{}, Deadline: time.Now().Add(time.Second),
				}
				c.Header.Set(platform.Headers().RequestID, string(c.ID))
				if d.runner.Run(context.Background(), c).Outcome == class.Answered {
					answered++
				}
				time.Sleep(10 * time.Millisecond)
			}
			return answered
		}
		g.Expect(runs()).To(gomega.Equal(60))
		isCold.Store(true)
		if perSecond > 0 {
			g.Expect(runs()).To(gomega.BeNumerically("<=", 18))
		} else {
			g.Expect(runs()).To(gomega.Equal(60))
			g.Expect(checks.Load()).To(gomega.BeZero())
		}
		server.Close()
	}
}
