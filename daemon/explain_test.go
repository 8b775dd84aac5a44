package daemon

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestExplainJudgesTheLocalServer guards against explanations that leave out the admission of the server beside the daemon,
// or the state in which that server gets no calls.
func TestExplainJudgesTheLocalServer(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, store.NewMemory(clockwork.NewRealClock()))
	server := httptest.NewServer(operator.Handler(d, func(err error) { t.Error(err) }))
	defer server.Close()
	client := operator.NewClient(strings.TrimPrefix(server.URL, "http://"))
	request := caller.Request{Host: "x", Path: "/p/1"}
	_, err := client.Explain(context.Background(), request)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no configuration")))
	d.control.post(context.Background(), func(ownership.Instant) {
		d.control.applyConfig(&class.Config{
			Version: 3, Services: map[class.Service]class.ServiceSettings{"s": {Name: "s"}},
			Classes: []class.Class{{
				Name: "c", Host: "x", Prefix: "/p/", Latency: time.Second, Timeout: 2 * time.Second, Attempts: 1,
				Destinations: []class.Destination{{Service: "s", Weight: 1}},
			}},
		})
	})
	g.Expect(sendHeartbeat(d, ownership.Instance{ID: "i", Born: 5}, 1)).To(gomega.Succeed())
	explained := func() string {
		e, _ := client.Explain(context.Background(), request)
		if len(e.Destinations) == 0 || e.Destinations[0].Admission == nil {
			return ""
		}
		return e.Verdict.String()
	}
	g.Eventually(explained).WithTimeout(5 * time.Second).Should(gomega.Equal("served"))
	d.runner.RejectCalls()
	e, err := client.Explain(context.Background(), request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Verdict).To(gomega.Equal(caller.Rejected))
	g.Expect(e.Reason).To(gomega.Equal("not_owner"))
	g.Expect(d.runner.State().Waiting + d.runner.Running()).To(gomega.Equal(0))
}
