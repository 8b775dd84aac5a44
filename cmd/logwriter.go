package cmd

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueCapacity is the maximum number of lines that wait to be written.
const logQueueCapacity = 1024

// closeFlushTimeout limits how long Close waits until all queued lines are written.
const closeFlushTimeout = 200 * time.Millisecond

// logWriter writes lines on a separate goroutine, so that a slow reader of the log does not block the process. It drops
// lines while the queue is full, and reports their number in the log.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// droppedLine formats the line that reports how many lines were dropped, in the format of the log.
	droppedLine func(count int64) string

	mu       sync.RWMutex
	isClosed bool
}

func newLogWriter(out io.Writer, isJSON bool) *logWriter {
	w := &logWriter{
		out:         out,
		lines:       make(chan []byte, logQueueCapacity),
		done:        make(chan struct{}),
		droppedLine: droppedTextLine,
	}
	if isJSON {
		w.droppedLine = droppedJSONLine
	}
	go w.run()
	return w
}

func droppedJSONLine(count int64) string {
	return fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", count)
}

func droppedTextLine(count int64) string {
	return fmt.Sprintf("[WARN]  log lines dropped: count=%d\n", count)
}

// Write implements io.Writer. It drops lines after Close.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.isClosed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // the error cannot be logged, as writing the log is what failed
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.out, w.droppedLine(n)) // as above
		}
	}
}

// Close waits for closeFlushTimeout at most until the queued lines are written.
func (w *logWriter) Close() {
	w.mu.Lock()
	if !w.isClosed {
		w.isClosed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeFlushTimeout):
	}
}
