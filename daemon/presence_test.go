package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestOddPresencesAreNotApplied guards against a host that daemons try to reach although its entry cannot be right, and
// against an entry that hides those after it.
func TestOddPresencesAreNotApplied(t *testing.T) {
	for name, odd := range map[string]string{
		"port out of range": `{"hop":"127.0.0.1:99999"}`,
		"port zero":         `{"hop":"127.0.0.1:0"}`,
		"negative port":     `{"hop":"127.0.0.1:-1"}`,
		"control port":      `{"hop":"127.0.0.1:1","control":"127.0.0.1:65536"}`,
		"no port":           `{"hop":"127.0.0.1"}`,
		"number too large":  `{"hop":"127.0.0.1:1","epoch":1e999}`,
		"another type":      `{"hop":["127.0.0.1:1"]}`,
		"deeply nested":     strings.Repeat(`{"hop":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"no JSON":           "\x00",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
			c := d.control
			c.applyItems(ownership.Instant(time.Minute), []store.Item{
				{Key: c.layout.Presence("odd"), Value: []byte(odd), Revision: store.MustRevision(1, 2)},
				{Key: c.layout.Presence("good"), Value: []byte(`{"hop":"127.0.0.1:3"}`), Revision: store.MustRevision(1, 3)},
			})
			_, isOddKnown := c.roster.Get("odd")
			g.Expect(isOddKnown).To(gomega.BeFalse())
			_, isGoodKnown := c.roster.Get("good")
			g.Expect(isGoodKnown).To(gomega.BeTrue())
		})
	}
}
