package peer_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// fakeBootClock is a boot clock that the test sets.
type fakeBootClock struct{ now ownership.Instant }

func (c *fakeBootClock) Now() ownership.Instant { return c.now }

// TestTimeOnTheWayCountsAgainstTheDeadline guards against calls that are delayed between two daemons and then run with
// the time that was left when they were sent.
func TestTimeOnTheWayCountsAgainstTheDeadline(t *testing.T) {
	const left = 125 * time.Millisecond
	for name, c := range map[string]struct {
		delay     time.Duration
		isExpired bool
	}{
		"usual time on the way":   {},
		"late":                    {delay: 100 * time.Millisecond},
		"later than its deadline": {delay: 2 * time.Second, isExpired: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			runner := &recordingRunner{}
			clock := clockwork.NewFakeClock()
			boot := &fakeBootClock{now: ownership.Instant(time.Hour)}
			r := receiver(runner, func(err error) { t.Error(err) })
			r.Clock, r.BootClock = clock, boot
			handler := r.Handler()
			forward := func(sentAt time.Duration) *httptest.ResponseRecorder {
				request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
				for name, value := range map[string]string{
					"Skylark-Hop-To":      "h",
					"Skylark-Hop-Service": "s",
					"Skylark-Hop-Spec":    "80000,1,true",
					"Skylark-Hop-Left-Us": strconv.FormatInt(left.Microseconds(), 10),
					"Skylark-Hop-Sent":    "7," + strconv.FormatInt(sentAt.Microseconds(), 10),
				} {
					request.Header.Set(name, value)
				}
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, request)
				return w
			}
			forward(3 * time.Second)
			boot.now = boot.now.Add(time.Minute/4 + c.delay)
			w := forward(3*time.Second + time.Minute/4)
			if c.isExpired {
				g.Expect(runner.calls).To(gomega.HaveLen(1))
				g.Expect(class.ParseOutcome(w.Header().Get("Skylark-Hop-Outcome"))).To(gomega.Equal(class.NotRun))
				g.Expect(call.ParseReason(w.Header().Get("Skylark-Hop-Reason"))).To(gomega.Equal(call.Late))
				return
			}
			g.Expect(runner.calls).To(gomega.HaveLen(2))
			g.Expect(runner.calls[1].Deadline.Sub(clock.Now())).To(gomega.Equal(left - c.delay))
		})
	}
}
