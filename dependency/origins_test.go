package dependency_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/dependency"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOrigins plays the scripts in testdata/origins at a server of service r. Each line is "calls COUNT CLASS ORIGIN
// [declared]", "wait DURATION", or "nested CLASS ORIGIN true|false", which checks the answer to one more call. The comment
// at the head of a script names the failure that it guards against.
func TestOrigins(t *testing.T) {
	scripts, err := filepath.Glob("testdata/origins/*.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(scripts).NotTo(gomega.BeEmpty())
	for _, script := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(script), ".txt"), func(t *testing.T) { playOrigins(t, script) })
	}
}

func playOrigins(t *testing.T, script string) {
	g := gomega.NewWithT(t)
	file, err := os.Open(script)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer file.Close()
	now, origins := start, dependency.NewOrigins("r")
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		switch fields[0] {
		case "calls":
			count, err := strconv.Atoi(fields[1])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for range count {
				now = now.Add(time.Millisecond)
				origins.Observe(now, class.Name(fields[2]), class.Service(fields[3]), len(fields) > 4)
			}
		case "wait":
			wait, err := time.ParseDuration(fields[1])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			now = now.Add(wait)
		case "nested":
			_, isNested := origins.Observe(now, class.Name(fields[1]), class.Service(fields[2]), false)
			g.Expect(strconv.FormatBool(isNested)).To(gomega.Equal(fields[3]), lines.Text())
		default:
			t.Fatalf("unknown line %q", lines.Text())
		}
	}
	g.Expect(lines.Err()).NotTo(gomega.HaveOccurred())
}
