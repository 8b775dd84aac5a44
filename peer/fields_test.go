package peer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// TestLoadFields guards against daemons of different versions that misread each other's load: fields are only added, and
// the slowdown only if there is one.
func TestLoadFields(t *testing.T) {
	g := gomega.NewWithT(t)
	load := call.Load{Running: 6, Waiting: 1, Concurrency: 6, QueueDelay: 40 * time.Millisecond, Slowdown: 1}
	g.Expect(formatLoad(load)).To(gomega.Equal("6,1,6,40000"))
	load.RateDelay = time.Millisecond
	g.Expect(formatLoad(load)).To(gomega.Equal("6,1,6,40000,1000"))
	load.RateDelay, load.Slowdown = 0, 2.254
	text := formatLoad(load)
	g.Expect(text).To(gomega.Equal("6,1,6,40000,0,225"))
	var known [5]int64
	g.Expect(parseFields(text, known[:])).To(gomega.Equal(5), "an earlier version reads the fields that it knows")
	load.Slowdown = 2.25
	g.Expect(parseLoad(text)).To(gomega.Equal(&load))
	g.Expect(parseLoad("6,1,6,40000").Slowdown).To(gomega.BeZero())
	g.Expect(parseLoad("6,1,6,40000,0,-3").Slowdown).To(gomega.BeZero())
}
