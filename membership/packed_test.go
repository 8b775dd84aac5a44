package membership_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

func drawAnnouncement(t *rapid.T) membership.Announcement {
	return membership.Announcement{
		Host:               ownership.HostID(rapid.String().Draw(t, "host")),
		Epoch:              ownership.Epoch(rapid.Uint64().Draw(t, "epoch")),
		Sequence:           rapid.Uint32().Draw(t, "sequence"),
		Service:            class.Service(rapid.String().Draw(t, "service")),
		Instance:           ownership.Instance{ID: rapid.String().Draw(t, "id"), Born: rapid.Int64().Draw(t, "born")},
		IsUsable:           rapid.Bool().Draw(t, "usable"),
		IsReady:            rapid.Bool().Draw(t, "ready"),
		Concurrency:        rapid.IntRange(0, 1<<20).Draw(t, "concurrency"),
		Load:               float64(rapid.IntRange(0, 1<<20).Draw(t, "load")),
		WarmupMS:           rapid.Int64Range(0, 1<<40).Draw(t, "warmup"),
		IsShuttingDown:     rapid.Bool().Draw(t, "shutting down"),
		IsStoreUnreachable: rapid.Bool().Draw(t, "unreachable"),
		RunTimes:           rapid.String().Draw(t, "run times"),
	}
}

func TestPackedAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sent := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 1, 5).Draw(t, "announcements")
		data := membership.PackAnnouncements(sent)
		received, err := membership.UnpackAnnouncements(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(received).To(gomega.HaveLen(len(sent)))
		for i := range sent {
			g.Expect(received[i].Load).To(gomega.BeNumerically("~", sent[i].Load, 0.001))
			received[i].Load = sent[i].Load
		}
		g.Expect(received).To(gomega.Equal(sent))
		_, err = membership.UnpackAnnouncements(data[:len(data)-1])
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&membership.PackedError{}))
	})
}

// TestPackedAnnouncementsAreSmall compares the packed encoding with the JSON encoding that it replaces.
func TestPackedAnnouncementsAreSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	a := announcement("sidecar-hennebont-coffre-47", 3, 17)
	a.Instance = ownership.Instance{ID: "i-588e8465f1", Born: 1_791_202_543_000}
	a.Load = 2.71828
	asJSON, err := json.Marshal(a)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(membership.PackAnnouncements([]membership.Announcement{a}))).To(gomega.BeNumerically("<", len(asJSON)/3))
}

func TestUnknownPackedFormatIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, data := range [][]byte{nil, {}, {membership.PackedFormat + 1, 0}} {
		_, err := membership.UnpackAnnouncements(data)
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&membership.PackedError{}))
	}
}

// TestPackedFormatNeedsAllHosts covers a rolling restart: hosts of an earlier version read JSON announcements only.
func TestPackedFormatNeedsAllHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := membership.NewRoster(ttl)
	newer := presence("a", "hop-a")
	newer.PackedFormat = membership.PackedFormat
	r.Register(newer, 1)
	g.Expect(r.CanUnpack()).To(gomega.BeTrue())
	r.Register(presence("b", "hop-b"), 2)
	g.Expect(r.CanUnpack()).To(gomega.BeFalse())
	upgraded := presence("b", "hop-b")
	upgraded.PackedFormat = membership.PackedFormat
	r.Register(upgraded, 3)
	g.Expect(r.CanUnpack()).To(gomega.BeTrue())
}
