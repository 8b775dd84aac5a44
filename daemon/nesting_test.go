package daemon

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

// TestNestingIsInferredAndLogged guards against inferences that do not depend on the configuration in force, and against
// decisions without a log line.
func TestNestingIsInferredAndLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	d := New(testSettings(), Options{Log: hclog.New(&hclog.LoggerOptions{Output: &out}), Clock: clockwork.NewFakeClock()})
	infer := func(version class.Version, bulk class.Bulk) bool {
		d.control.applyConfig(&class.Config{Version: version, Classes: []class.Class{{Name: "c", Bulk: bulk}}})
		out.Reset()
		d.nesting.CallArrived("confirm", "p", false)
		d.nesting.CallArrived("confirm", "q", false)
		isNested := false
		for range 60 {
			isNested = d.nesting.CallArrived("check", "p", false).IsNested
		}
		return isNested
	}
	g.Expect(infer(1, class.NoBulk)).To(gomega.BeFalse())
	g.Expect(out.String()).To(gomega.BeEmpty())
	g.Expect(infer(2, class.Upload)).To(gomega.BeTrue())
	g.Expect(out.String()).To(gomega.ContainSubstring("class counts as nested: only the servers of one service call it: class=check caller=p"))
	out.Reset()
	d.observer.rejectionChanged(dependency.Rejection{
		Nested: "check", Runs: []class.Name{"view"}, IsRejecting: true, FailedShare: 0.5, CallsPerRun: 1.4, Admitted: 0.5,
	})
	g.Expect(out.String()).To(gomega.MatchRegexp(`runs are rejected: .*nested=check failed=0.50 calls_per_run=1.40 admitted=0.50`))
	d.observer.rejectionChanged(dependency.Rejection{Nested: "check", Rejected: 7})
	g.Expect(out.String()).To(gomega.ContainSubstring("runs are admitted again"))
	g.Expect(infer(3, class.NoBulk)).To(gomega.BeFalse())
}
