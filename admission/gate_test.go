package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/class"
)

var browse = &class.Class{Name: "browse", Rank: 1, Latency: 200 * time.Millisecond}

// run lets a job through and ends it.
func run(t *testing.T, gate *admission.Controller, clock *clockwork.FakeClock, took time.Duration, end func(*admission.Ticket)) {
	t.Helper()
	ticket, err := gate.Acquire(context.Background(), browse, clock.Now().Add(time.Second), nil)
	if err != nil {
		t.Fatal(err)
	}
	clock.Advance(took)
	end(ticket)
}

// TestSlowJobsTakeNoPlaces is a service whose jobs wait for another, slow one: its servers have all their places.
func TestSlowJobsTakeNoPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	for range 50 {
		run(t, gate, clock, 20*time.Millisecond, (*admission.Ticket).Done)
	}
	for range 200 {
		run(t, gate, clock, 400*time.Millisecond, (*admission.Ticket).Done)
	}
	g.Expect(gate.State().Limit).To(gomega.Equal(6))
}

// TestServerThatShedsKeepsWork is a faulty server that refuses half of its work though it has room.
func TestServerThatShedsKeepsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := admission.NewController(admission.NewTargetPolicy(6), 6, clock)
	for range 200 {
		run(t, gate, clock, time.Millisecond, (*admission.Ticket).Shed)
	}
	g.Expect(gate.State().Limit).To(gomega.Equal(4))
	for range 100 {
		run(t, gate, clock, time.Millisecond, (*admission.Ticket).Done)
	}
	g.Expect(gate.State().Limit).To(gomega.Equal(6))
}

func TestRefusalsOfTheGate(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := admission.NewController(admission.NewTargetPolicy(1), 1, clock)
	ticket, err := gate.Acquire(context.Background(), browse, clock.Now().Add(time.Second), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = gate.Acquire(gone, browse, clock.Now().Add(time.Second), nil)
	g.Expect(err).To(gomega.Equal(&admission.RejectedError{Class: "browse", Reason: admission.Canceled}))
	withdrawn := make(chan struct{})
	close(withdrawn)
	_, err = gate.Acquire(context.Background(), browse, clock.Now().Add(time.Second), withdrawn)
	g.Expect(err).To(gomega.Equal(&admission.RejectedError{Class: "browse", Reason: admission.Canceled}))
	g.Expect(gate.State().Waiting).To(gomega.BeZero())
	ticket.Cancel()
	g.Expect(gate.State().Running).To(gomega.BeZero())
}
