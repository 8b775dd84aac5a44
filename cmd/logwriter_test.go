package cmd

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// blockingWriter blocks all writes until it is released, and then keeps what was written.
type blockingWriter struct {
	started, released chan struct{}
	text              strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.started <- struct{}{}:
	default:
	}
	<-w.released
	return w.text.Write(p)
}

// TestDroppedLinesAreReportedInTheFormatOfTheLog covers a reader of the log that is too slow.
func TestDroppedLinesAreReportedInTheFormatOfTheLog(t *testing.T) {
	for name, isJSON := range map[string]bool{"json": true, "text": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			out := &blockingWriter{started: make(chan struct{}, 1), released: make(chan struct{})}
			w := newLogWriter(out, isJSON)
			_, err := io.WriteString(w, "{}\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			<-out.started
			for range logQueueCapacity + 5 {
				_, err := io.WriteString(w, "{}\n")
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			close(out.released)
			w.Close()
			var report string
			for line := range strings.Lines(out.text.String()) {
				if strings.Contains(line, "dropped") {
					report = line
				}
			}
			g.Expect(report).To(gomega.MatchRegexp(`count\W+5\b`))
			g.Expect(json.Valid([]byte(report))).To(gomega.Equal(isJSON), report)
		})
	}
}

func TestWriteAfterCloseIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newLogWriter(io.Discard, true)
	w.Close()
	_, err := io.WriteString(w, "late\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w.Close()
}
