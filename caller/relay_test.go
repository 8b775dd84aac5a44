package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/caller"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// script answers the nth attempt, and counts.
type script struct {
	answers  []call.Answer
	attempts int
	hosts    []ownership.HostID
}

func (s *script) Send(_ context.Context, to *ownership.Member, _ call.Call) call.Answer {
	answer := s.answers[min(s.attempts, len(s.answers)-1)]
	s.attempts++
	s.hosts = append(s.hosts, to.Host)
	return answer
}

func cell(hosts ...ownership.HostID) *ownership.Record {
	r := &ownership.Record{Service: "s", Owners: []int16{0}, Fences: []ownership.Generation{1}}
	for _, host := range hosts {
		r.Members = append(r.Members, ownership.Member{Ref: ownership.Ref{Host: host, Incarnation: 1}})
	}
	return r
}

func relay(s *script, hosts ...ownership.HostID) *caller.Relay {
	table := caller.NewTable()
	table.Set(caller.Routes{"s": cell(hosts...)})
	return caller.NewRelay("d", table, s, clockwork.NewRealClock(), 1)
}

func request(isIdempotent bool, slot int) call.Call {
	return call.Call{
		Class:    class.Class{Name: "c", Service: "s", Idempotent: isIdempotent},
		Slot:     slot,
		Deadline: time.Now().Add(time.Minute),
	}
}

var answered = call.Answer{Outcome: class.Answered, Status: 200}

func TestWhatIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		name         string
		isIdempotent bool
		answers      []call.Answer
		outcome      class.Outcome
		attempts     int
	}{
		{"work that surely did not run", false, []call.Answer{call.NotRun(call.Unreachable), call.NotRun(call.NotOwner), call.NotRun(call.Refused), answered}, class.Answered, 4},
		{"nothing that may have run", false, []call.Answer{call.Unknown(call.AnswerLost), answered}, class.Unknown, 1},
		{"idempotent work that may have run", true, []call.Answer{call.Unknown(call.AnswerLost), answered}, class.Answered, 2},
		{"nothing while shedding is the reason", true, []call.Answer{call.NotRun(call.Shed), answered}, class.NotRun, 1},
		{"nothing while there is an overload", true, []call.Answer{call.NotRun(call.Overload), answered}, class.NotRun, 1},
		{"a lost answer is not undone by a later refusal", true, []call.Answer{call.Unknown(call.AnswerLost), call.NotRun(call.Overload)}, class.Unknown, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &script{answers: c.answers}
			answer := relay(s, "a").Do(context.Background(), request(c.isIdempotent, 0))
			g.Expect(answer.Outcome).To(gomega.Equal(c.outcome))
			g.Expect(s.attempts).To(gomega.Equal(c.attempts))
		})
	}
}

func TestUnkeyedWorkGoesToAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &script{answers: []call.Answer{call.Unknown(call.AnswerLost), answered}}
	g.Expect(relay(s, "a", "b").Do(context.Background(), request(true, call.Unkeyed)).Outcome).To(gomega.Equal(class.Answered))
	g.Expect(s.hosts).To(gomega.ConsistOf(ownership.HostID("a"), ownership.HostID("b")))
}

// A struggling server must not get more than its calls, the saved-up budget and a tenth.
func TestRetriesStayInTheirBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const calls, savedUp = 100, 20
	s := &script{answers: []call.Answer{call.Unknown(call.AnswerLost)}}
	r := relay(s, "a")
	for range calls {
		g.Expect(r.Do(context.Background(), request(true, 0)).Outcome).To(gomega.Equal(class.Unknown))
	}
	g.Expect(s.attempts).To(gomega.BeNumerically("<=", calls+savedUp))
}

func TestNoServerInTimeIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &script{answers: []call.Answer{answered}}
	c := request(true, 0)
	c.Class.Service = "unknown"
	c.Deadline = time.Now().Add(20 * time.Millisecond)
	g.Expect(relay(s, "a").Do(context.Background(), c)).To(gomega.Equal(call.NotRun(call.NoServer)))
	g.Expect(s.attempts).To(gomega.BeZero())
}
