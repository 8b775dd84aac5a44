package daemon

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"
)

// TestTransfersAreLogged guards against rejections because of a full link without a log line, and against a speed of the
// link in the settings that is not used.
func TestTransfersAreLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	s := testSettings()
	s.Limits.LinkMbps, s.Log.LinesPerSecond = 10, 100
	d := New(s, Options{Log: hclog.New(&hclog.LoggerOptions{Output: &out}), Clock: clockwork.NewFakeClock()})
	for range 3 {
		d.transfers.Reserve("enrol-upload", "u-1", 60_000)
	}
	for range 6 {
		d.transfers.Admit("archive-export", "d-1")
	}
	d.transfers.Begin("enrol-upload", "u-2", 0).End(60_000)
	d.observer.reservationsUnsupported("h2")
	for _, line := range []string{
		"transfer rejected: the link of this host has no room: event=upload_rejected request=u-1 class=enrol-upload bytes=60000",
		"transfer rejected: the link of this host has no room: event=download_rejected request=d-1 class=archive-export",
		"upload without a valid reservation accepted: request=u-2",
		"the daemon does not know reservations: peer=h2",
	} {
		g.Expect(out.String()).To(gomega.ContainSubstring(line))
	}
	g.Expect(d.registry.Get("transfers.reserved")).NotTo(gomega.BeNil())
}
