package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// TestEndingDaemonTakesNoCallThatItMayCut guards against calls from other daemons that begin late in the grace time of a
// planned stop and are cut at its end.
func TestEndingDaemonTakesNoCallThatItMayCut(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNames.RequestID, "id-1")
		w.Header().Set(headerNames.Signature, "s")
	})
	r, _ := newRunner(address, unchanged)
	r.RejectCallsPast(time.Now().Add(2 * time.Second))
	g.Expect(r.Run(context.Background(), newCall(time.Second)).Outcome).To(gomega.Equal(class.Answered))
	late := r.Run(context.Background(), newCall(3*time.Second))
	g.Expect(late.Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(late.Reason).To(gomega.Equal(call.NotOwner), "its caller offers it to another server")
}
