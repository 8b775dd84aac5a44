package backend

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestColdness guards against a server that restarted being taken for warm because of what its last life stated, and
// against one that stays limited although it is warm. The cases are in testdata.
func TestColdness(t *testing.T) {
	text, err := os.ReadFile("testdata/coldness.txt")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, script := range strings.Split(string(text), "case: ")[1:] {
		lines := strings.Split(strings.TrimSpace(script), "\n")
		t.Run(lines[0], func(t *testing.T) {
			g := gomega.NewWithT(t)
			var c coldness
			for _, line := range lines[1:] {
				var command string
				var x, y, left int
				n, _ := fmt.Sscan(line, &command, &x, &y, &left)
				switch fmt.Sprint(command, n) {
				case "state4":
					c.apply(WarmupStatement{SentAfter: at(x), ArrivedAt: at(y), Left: at(left).Sub(start)})
				case "suspect2":
					c.suspect(at(x))
				case "limited2":
					g.Expect(at(x).Before(c.limitedUntil())).To(gomega.BeTrue(), line)
				case "free2":
					g.Expect(at(x).Before(c.limitedUntil())).To(gomega.BeFalse(), line)
				default:
					t.Fatal("unknown command", line)
				}
			}
		})
	}
}
