package timeline_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// TestMergeOrdersCauseBeforeEffect guards against sorting by wall clock alone: an event on a host whose clock is behind
// would then come before the event on another host that caused it.
func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ahead := timeline.NewRecorder("ahead", 8, clockwork.NewFakeClockAt(now.Add(time.Minute)))
	behind := timeline.NewRecorder("behind", 8, clockwork.NewFakeClockAt(now))
	behind.Add(timeline.Event{Name: "before"})
	behind.Observe(ahead.Add(timeline.Event{Name: "cause"}))
	behind.Add(timeline.Event{Name: "effect"})
	var names []string
	for _, e := range timeline.Merge(behind.Since(timeline.Timestamp{}), ahead.Since(timeline.Timestamp{})) {
		names = append(names, e.Host+" "+e.Name)
	}
	g.Expect(names).To(gomega.Equal([]string{"behind before", "ahead cause", "behind effect"}))
}

func TestRecorderKeepsNewestCallsAndOtherEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	recorder := timeline.NewRecorder("h", 2, clockwork.NewFakeClock())
	recorder.Add(timeline.Event{Kind: timeline.Ownership, Name: "moved"})
	for _, name := range []string{"1", "2", "3"} {
		recorder.Add(timeline.Event{Kind: timeline.Call, Name: name})
	}
	events := recorder.Since(timeline.Timestamp{})
	g.Expect(events).To(gomega.HaveLen(3))
	g.Expect(events[0].Name).To(gomega.Equal("moved"))
	g.Expect(recorder.Since(events[1].At)).To(gomega.HaveLen(1))
}
