package transfer_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/transfer"
)

const bodySize = 60_000

// newGate returns a gate for a link of 10 Mbit/s, and the events that it observed.
func newGate(mbps float64) (*transfer.Gate, *clockwork.FakeClock, *[]transfer.Event) {
	clock := clockwork.NewFakeClock()
	events := &[]transfer.Event{}
	gate := transfer.NewGate(mbps, func(d transfer.Decision) { *events = append(*events, d.Event) }, clock, 1)
	return gate, clock, events
}

// TestReservationsOfSendersThatEnd guards against a link that stays reserved for senders that ended, before or while they
// sent the body.
func TestReservationsOfSendersThatEnd(t *testing.T) {
	for name, c := range map[string]struct {
		begins bool
		lasts  time.Duration
	}{
		"before the body": {lasts: 300 * time.Millisecond},
		"in the body":     {begins: true, lasts: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			gate, clock, events := newGate(10)
			for range 2 {
				token, _ := gate.Reserve("up", "1", bodySize)
				g.Expect(token).NotTo(gomega.BeZero())
				if c.begins {
					g.Expect(gate.Begin("up", "1", token).IsReserved()).To(gomega.BeTrue())
				}
			}
			clock.Advance(c.lasts - time.Millisecond)
			token, retryAfter := gate.Reserve("up", "2", bodySize)
			g.Expect(token).To(gomega.BeZero())
			g.Expect(retryAfter).To(gomega.BeNumerically(">", 0))
			clock.Advance(time.Millisecond)
			g.Expect(gate.Reservations()).To(gomega.BeZero())
			token, _ = gate.Reserve("up", "2", bodySize)
			g.Expect(token).NotTo(gomega.BeZero())
			g.Expect(*events).To(gomega.Equal([]transfer.Event{
				transfer.Reserved, transfer.Reserved, transfer.UploadRejected, transfer.Expired, transfer.Expired, transfer.Reserved,
			}))
		})
	}
}

// TestTokensAreValidOnce guards against a reservation that is used for two bodies, and against a body without a
// reservation that is not counted.
func TestTokensAreValidOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, clock, events := newGate(10)
	token, _ := gate.Reserve("up", "1", bodySize)
	first, second := gate.Begin("up", "1", token), gate.Begin("up", "1", token)
	g.Expect(first.IsReserved()).To(gomega.BeTrue())
	g.Expect(second.IsReserved()).To(gomega.BeFalse())
	first.End(bodySize)
	second.End(bodySize)
	gate.Begin("up", "3", 0).End(transfer.MaxUnreserved)
	g.Expect(gate.Begin("up", "1", token).IsReserved()).To(gomega.BeFalse())
	g.Expect(*events).To(gomega.Equal([]transfer.Event{transfer.Reserved, transfer.Unreserved}))
	_, retryAfter := gate.Reserve("up", "2", bodySize)
	g.Expect(retryAfter).To(gomega.BeNumerically("~", 94*time.Millisecond, 2*time.Millisecond), "76 kB at 0.65 of 10 Mbit/s")
	clock.Advance(retryAfter)
	token, _ = gate.Reserve("up", "2", bodySize)
	g.Expect(token).NotTo(gomega.BeZero(), "there is room after the stated time")
}

// TestDownloadsAreAdmittedByTheirSize guards against calls that are rejected although their responses turned out to be
// small, or did not come at all, and against a link that large ones fill.
func TestDownloadsAreAdmittedByTheirSize(t *testing.T) {
	admitted := func(size int, isAnswered bool) int {
		gate, _, _ := newGate(10)
		for i := range 100 {
			download, retryAfter := gate.Admit("down", "1")
			if retryAfter > 0 {
				return i
			}
			download.End(size, isAnswered, 0)
		}
		return 100
	}
	g := gomega.NewWithT(t)
	g.Expect(admitted(90_000, true)).To(gomega.BeNumerically("<", 6))
	g.Expect(admitted(500, true)).To(gomega.BeNumerically(">", 3))
	g.Expect(admitted(0, false)).To(gomega.Equal(100))

	gate, _, _ := newGate(10)
	first, _ := gate.Admit("down", "1")
	second, _ := gate.Admit("down", "2")
	g.Expect(first.End(90_000, true, time.Second)).To(gomega.BeZero())
	g.Expect(second.End(90_000, true, time.Second)).To(gomega.Equal(72*time.Millisecond), "after the first response")
}

// TestUnknownLinkLimitsNothing guards against limits where the settings do not state the speed of the link.
func TestUnknownLinkLimitsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, _, _ := newGate(0)
	for range 50 {
		token, retryAfter := gate.Reserve("up", "1", bodySize)
		g.Expect(token).NotTo(gomega.BeZero())
		g.Expect(retryAfter).To(gomega.BeZero())
		download, retryAfter := gate.Admit("down", "1")
		g.Expect(retryAfter).To(gomega.BeZero())
		g.Expect(download.End(bodySize, true, time.Second)).To(gomega.BeZero())
	}
}
