package daemon

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// TestNewerConfigurationAfterARestoreIsInForce guards against a configuration that is taken for an older one because the
// restored store gave it a lower revision, and against the older one of the copy.
func TestNewerConfigurationAfterARestoreIsInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	c, now := d.control, ownership.Instant(time.Minute)
	for _, step := range []struct {
		era      store.Era
		counter  uint64
		version  class.Version
		expected class.Version
	}{
		{1, 28, 14, 14},
		{2, 21, 11, 14},
		{2, 25, 17, 17},
	} {
		data, err := platform.EncodeConfig(&class.Config{Version: step.version})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c.applyItems(now, []store.Item{
			{Key: platform.ConfigKey, Value: data, Revision: store.MustRevision(step.era, step.counter)},
		})
		g.Expect(d.callerHandler.Config().Version).To(gomega.Equal(step.expected))
		g.Expect(c.replica.Get(platform.ConfigKey).Version).To(gomega.Equal(membership.Version(step.expected)))
	}
}

// TestValuesOfAnEarlierEraAreDropped guards against a peer that does not know of a restore yet.
func TestValuesOfAnEarlierEraAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New(testSettings(), Options{Log: hclog.NewNullLogger(), Clock: clockwork.NewFakeClock()})
	c, now := d.control, ownership.Instant(time.Minute)
	presence := func(era store.Era, host ownership.HostID) membership.Entry {
		return membership.Entry{
			Key:     c.layout.Presence(host),
			Version: membership.Version(store.MustRevision(era, 9)),
			Data:    []byte(`{"hop":"127.0.0.1:3"}`),
		}
	}
	g.Expect(c.applyEntry(now, presence(2, "a"))).To(gomega.BeTrue(), "the revision tells the era")
	g.Expect(c.storeEra).To(gomega.Equal(store.Era(2)))
	g.Expect(c.applyEntry(now, presence(1, "b"))).To(gomega.BeFalse())
	g.Expect(c.applyEntry(now, presence(2, "b"))).To(gomega.BeTrue())
}
