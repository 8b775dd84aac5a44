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
	once    sync.Once
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logQueueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *logWriter) Write(line []byte) (int, error) {
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
			fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		}
	}
}

// Close waits for closeFlushTimeout at most until the queued lines are written. Write may not be called afterwards.
func (w *logWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeFlushTimeout):
	}
}
