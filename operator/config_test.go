package operator_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/operator"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// store is a platform in memory. Each swap meets the next fault, if there is one.
type store struct {
	platform.Store
	entry  platform.Entry
	faults []fault
}

type fault int

const (
	none fault = iota
	lostBefore
	lostAfter
	otherFirst
)

func (s *store) Get(context.Context, string) (platform.Entry, error) { return s.entry, nil }

func (s *store) Swap(_ context.Context, key string, expected platform.Revision, data []byte) (platform.Revision, error) {
	next := none
	if len(s.faults) > 0 {
		next, s.faults = s.faults[0], s.faults[1:]
	}
	if next == lostBefore {
		return 0, &platform.LostError{Cause: context.DeadlineExceeded}
	}
	if next == otherFirst {
		other, err := operator.NewEditor(&store{entry: s.entry}, clockwork.NewFakeClock()).Apply(context.Background(), 0, "other", text)
		if err != nil {
			return 0, err
		}
		s.entry = other.Entry
	}
	if s.entry.Revision != expected {
		return 0, &platform.ConflictError{Key: key, Expected: expected, Actual: s.entry.Revision}
	}
	s.entry = platform.Entry{Key: key, Data: data, Revision: expected + 1}
	if next == lostAfter {
		return 0, &platform.LostError{Cause: context.DeadlineExceeded}
	}
	return s.entry.Revision, nil
}

const text = `[[class]]
name = "lookup"
service = "register"
method = "GET"
path = "/lots/{key}"
rank = 1
latency = "100ms"
success = 0.99
idempotent = true
keyed = true
`

func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	for name, faults := range map[string][]fault{
		"answer lost after the write": {lostAfter},
		"request lost":                {lostBefore},
		"lost twice":                  {lostBefore, lostAfter},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &store{faults: faults}
			clock := clockwork.NewRealClock()
			accepted, err := operator.NewEditor(s, clock).Apply(context.Background(), 0, "me", text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(accepted.Change.Revision).To(gomega.BeNumerically("==", 1))
			value, err := operator.DecodeConfig(s.entry.Data)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(value.Changes).To(gomega.HaveLen(1))
		})
	}
}

func TestLoserOfARaceIsToldTheOthersChange(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{faults: []fault{otherFirst}}
	_, err := operator.NewEditor(s, clockwork.NewRealClock()).Apply(context.Background(), 0, "me", text)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&operator.ConflictError{}))
	g.Expect(err.(*operator.ConflictError).Other.Author).To(gomega.Equal("other"))
	value, err := operator.DecodeConfig(s.entry.Data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(value.Current().Author).To(gomega.Equal("other"), "nothing was overwritten")
}

func TestBadConfigurationIsNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &store{}
	_, err := operator.NewEditor(s, clockwork.NewRealClock()).Apply(context.Background(), 0, "me", "[[class]]\nname = 3\n")
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&settings.ProblemsError{}))
	g.Expect(s.entry.Revision).To(gomega.BeZero())
}

func TestStoredConfigurationOfANewerFormat(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := operator.DecodeConfig([]byte(`{"format":2}`))
	g.Expect(err).To(gomega.MatchError("stored configuration: format 2 is newer than 1"))
	_, err = operator.DecodeConfig([]byte(`{"format":1,"chan`))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&operator.ConfigFormatError{}))
}
