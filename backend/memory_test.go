package backend

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

func TestMemoryRunsAnIntakeOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMemory(clockwork.NewFakeClock())
	runs := 0
	answers := []call.Answer{call.NotRun(call.Overload), {Outcome: class.Answered, Status: 201}}
	run := func() call.Answer {
		runs++
		return answers[runs-1]
	}
	intake := call.Call{Class: class.Class{Name: "lot-intake"}, Key: "L-1", Slot: 2, Idempotency: "till-7/1"}
	repeat := intake
	repeat.IsRepeat = true
	once := func(c call.Call) call.Answer { return m.once(context.Background(), c, run) }

	g.Expect(once(intake).Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(once(intake).Status).To(gomega.Equal(201), "what did not run may be sent again")
	g.Expect(once(repeat).Status).To(gomega.Equal(201))
	g.Expect(once(intake).Status).To(gomega.Equal(201))
	g.Expect(runs).To(gomega.Equal(2))

	m.forget([]Fence{0, 0, 5}, []Fence{0, 0, 9})
	g.Expect(once(repeat)).To(gomega.Equal(call.Unknown(call.MemoryLost)), "the slot was away: the memory may be gone")
	g.Expect(runs).To(gomega.Equal(2))
}

func TestMemoryKeepsAnUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMemory(clockwork.NewFakeClock())
	intake := call.Call{Class: class.Class{Name: "lot-intake"}, Key: "L-1", Slot: 2, Idempotency: "till-7/1"}
	lost := func() call.Answer { return call.Unknown(call.AnswerLost) }
	never := func() call.Answer { t.Fatal("ran again"); return call.Answer{} }
	g.Expect(m.once(context.Background(), intake, lost).Outcome).To(gomega.Equal(class.Unknown))
	g.Expect(m.once(context.Background(), intake, never).Outcome).To(gomega.Equal(class.Unknown))
}
