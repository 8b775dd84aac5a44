package call_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
)

// TestReturns guards against callers that gain by repeating calls before their Retry-After, and against calls that are not
// recognised although they returned as they were told.
func TestReturns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, other := call.Call{ID: "1", URI: "/a"}, call.Call{URI: "/b"}
	again := c
	again.ID = "2"
	for name, play := range map[string]func(g *gomega.WithT, r *call.Returns){
		"on time": func(g *gomega.WithT, r *call.Returns) {
			clock.Advance(100 * time.Millisecond)
			g.Expect(r.Claim(other)).To(gomega.BeFalse())
			g.Expect(r.Claim(again)).To(gomega.BeTrue())
			g.Expect(r.Claim(again)).To(gomega.BeFalse(), "once for each rejection")
		},
		"early": func(g *gomega.WithT, r *call.Returns) {
			for range 20 {
				clock.Advance(4 * time.Millisecond)
				g.Expect(r.Claim(again)).To(gomega.BeFalse())
				r.Announce(again, 100*time.Millisecond)
			}
			g.Expect(r.Len()).To(gomega.Equal(1))
			clock.Advance(90 * time.Millisecond)
			g.Expect(r.Claim(again)).To(gomega.BeFalse(), "the last rejection counts")
		},
		"expired": func(g *gomega.WithT, r *call.Returns) {
			clock.Advance(2 * time.Second)
			g.Expect(r.Claim(again)).To(gomega.BeFalse())
			g.Expect(r.Len()).To(gomega.BeZero())
		},
		"two callers": func(g *gomega.WithT, r *call.Returns) {
			r.Announce(c, 100*time.Millisecond)
			clock.Advance(100 * time.Millisecond)
			g.Expect(r.Claim(c)).To(gomega.BeTrue())
			g.Expect(r.Claim(c)).To(gomega.BeTrue())
			g.Expect(r.Claim(c)).To(gomega.BeFalse())
		},
		"bounded": func(g *gomega.WithT, r *call.Returns) {
			for i := range 10_000 {
				r.Announce(call.Call{URI: strconv.Itoa(i)}, 5*time.Second)
			}
			g.Expect(r.Len()).To(gomega.BeNumerically("<=", 4096))
			clock.Advance(5 * time.Second)
			g.Expect(r.Claim(call.Call{URI: "9999"})).To(gomega.BeTrue())
			g.Expect(r.Claim(call.Call{URI: "0"})).To(gomega.BeFalse())
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := call.NewReturns(clock)
			r.Announce(c, 100*time.Millisecond)
			play(gomega.NewWithT(t), r)
		})
	}
}

func BenchmarkReturns(b *testing.B) {
	r := call.NewReturns(clockwork.NewRealClock())
	c := call.Call{Method: "GET", Host: "h", URI: "/a/1"}
	for b.Loop() {
		r.Announce(c, 0)
		r.Claim(c)
	}
}
