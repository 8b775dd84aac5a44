package peer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// TestDelayOfLateCalls covers clocks of two hosts that do not agree.
func TestDelayOfLateCalls(t *testing.T) {
	const (
		offset = -7 * time.Hour
		usual  = time.Millisecond
	)
	at := func(d time.Duration) ownership.Instant { return ownership.Instant(8 * time.Hour).Add(d) }
	g := gomega.NewWithT(t)
	m := newDelayMeter()
	observe := func(process processID, sent, onTheWay time.Duration) time.Duration {
		header := sendTime{process: process, at: at(sent).Add(offset)}.String()
		delay, err := m.observe(header, at(sent).Add(onTheWay))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return delay
	}
	g.Expect(observe(1, 0, 5*usual)).To(gomega.BeZero(), "the first call has nothing to compare with")
	g.Expect(observe(1, time.Second, usual)).To(gomega.BeZero())
	g.Expect(observe(1, 2*time.Second, 2*time.Second)).To(gomega.Equal(2*time.Second - usual))
	g.Expect(observe(2, 3*time.Second, 2*time.Second)).To(gomega.BeZero(), "another process has another clock")
	for i := range 10 {
		g.Expect(observe(1, baseDelayWindow+time.Duration(i)*time.Second, 100*usual)).To(gomega.Equal(99 * usual))
	}
	g.Expect(observe(1, 2*baseDelayWindow+10*time.Second, 100*usual)).To(gomega.BeZero(), "a new route is the usual one")
}

func TestInvalidSendTime(t *testing.T) {
	g := gomega.NewWithT(t)
	delay, err := newDelayMeter().observe("", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(delay).To(gomega.BeZero())
	_, err = newDelayMeter().observe("x", 0)
	var invalid *MessageError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(invalid))
}
