package cmd

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueue bounds the lines that wait to be written.
const logQueue = 1024

// closeTimeout bounds the wait for the last lines.
const closeTimeout = 200 * time.Millisecond

// logWriter writes lines on a goroutine of its own, so that a reader that stands still holds nothing up. Lines that
// do not fit are dropped and counted.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logQueue), done: make(chan struct{})}
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
			w.dropped.Add(1) // there is nowhere else to say it
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		}
	}
}

// Close writes what waits, for a short while. Nothing may be written afterwards.
func (w *logWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
