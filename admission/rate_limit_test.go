package admission

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/time/rate"
)

// rateScript runs a rateLimiter in virtual time, with an attempt to start a job each millisecond.
type rateScript struct {
	limiter rateLimiter
	now     time.Time
	starts  []time.Time
	// changedAt is the time of the last change of the limit.
	changedAt time.Time
}

// changeGrace is how long after a change of the limit the number of starts is not checked yet.
const changeGrace = 3 * time.Second

func (s *rateScript) run(d time.Duration, isTrying bool) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		if isTrying && s.limiter.delay(s.now, 1) == 0 {
			s.limiter.start(s.now)
			s.starts = append(s.starts, s.now)
		}
	}
}

// busiest returns the largest number of starts in any window of the given length that ends after changeGrace. Starts
// before the change count as well.
func (s *rateScript) busiest(window time.Duration) int {
	most, first := 0, 0
	for last, at := range s.starts {
		for at.Sub(s.starts[first]) > window {
			first++
		}
		if at.Sub(s.changedAt) >= changeGrace {
			most = max(most, last-first+1)
		}
	}
	return most
}

func (s *rateScript) execute(g *gomega.WithT, fields []string) {
	duration := func() time.Duration {
		d, err := time.ParseDuration(fields[1])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return d
	}
	switch fields[0] {
	case "limit":
		limit := rate.Inf
		if fields[1] != "none" {
			perSecond, err := strconv.ParseFloat(fields[1], 64)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			limit = rate.Limit(perSecond)
		}
		s.limiter.set(s.now, limit)
		s.changedAt = s.now
	case "run", "pause":
		s.run(duration(), fields[0] == "run")
	case "at_least", "at_most":
		count, err := strconv.Atoi(fields[2])
		g.Expect(err).NotTo(gomega.HaveOccurred())
		comparator := map[string]string{"at_least": ">=", "at_most": "<="}[fields[0]]
		g.Expect(s.busiest(duration())).To(gomega.BeNumerically(comparator, count), strings.Join(fields, " "))
	default:
		g.Expect(fields[0]).To(gomega.Equal("a known command"))
	}
}

// TestRateLimits runs the scripts in testdata/rate_limits.
func TestRateLimits(t *testing.T) {
	paths, err := filepath.Glob("testdata/rate_limits/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			g := gomega.NewWithT(t)
			file, err := os.Open(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer file.Close()
			script := rateScript{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			lines := bufio.NewScanner(file)
			for lines.Scan() {
				if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] != "#" {
					script.execute(g, fields)
				}
			}
			g.Expect(lines.Err()).NotTo(gomega.HaveOccurred())
		})
	}
}
