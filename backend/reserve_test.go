package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
)

// TestCanStart guards against bodies that are sent to a server that cannot start their call within the bound, and against
// several bodies for the same slot.
func TestCanStart(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, unchanged)
	c := newCall(10 * time.Second)
	c.MaxWait = time.Millisecond
	reason := func(reserved int) call.Reason {
		if rejected := r.CanStart(c, reserved); rejected != nil {
			return rejected.Reason
		}
		return call.None
	}
	g.Expect(reason(0)).To(gomega.Equal(call.None))
	g.Expect(reason(1)).To(gomega.Equal(call.None), "the server has two slots")
	g.Expect(reason(2)).To(gomega.Equal(call.WaitExceeded))
	g.Expect(r.Load().Running+r.Load().Waiting).To(gomega.BeZero(), "nothing is queued")

	done := make(chan struct{})
	for range 2 {
		go func() { r.Run(context.Background(), newCall(10*time.Second)); done <- struct{}{} }()
	}
	g.Eventually(r.Running).Should(gomega.Equal(2))
	g.Expect(reason(0)).To(gomega.Equal(call.WaitExceeded))
	g.Expect(r.CanStart(c, 0).Load.Running).To(gomega.Equal(2))
	c.MaxWait = 5 * time.Second
	g.Expect(reason(0)).To(gomega.Equal(call.None))
	c.Deadline = time.Now().Add(time.Microsecond)
	g.Expect(reason(0)).To(gomega.Equal(call.Overload), "it would end after its deadline")
	close(release)
	<-done
	<-done

	c.Deadline = time.Now().Add(10 * time.Second)
	for name, change := range map[string]func(*backend.Permit){
		"not usable":  func(p *backend.Permit) { p.IsUsable = false },
		"not its key": func(p *backend.Permit) { p.Keys = keyspace.Map[bool]{} },
	} {
		r, _ = newRunner(address, change)
		g.Expect(reason(0)).To(gomega.Equal(call.NotOwner), name)
	}

	assigned := func(class.Key) (bool, <-chan struct{}) { return true, nil }
	r, _ = newRunner(address, func(p *backend.Permit) { p.Keys = keyspace.Map[bool]{} })
	r.WaitForKeys(assigned)
	g.Expect(reason(0)).To(gomega.Equal(call.None), "its key is on the way")
	r, _ = newRunner(address, func(p *backend.Permit) { p.IsKeysOnly, p.IsKeyed = true, false })
	r.WaitForKeys(assigned)
	g.Expect(reason(0)).To(gomega.Equal(call.NotOwner), "its domain is evacuated")
}
