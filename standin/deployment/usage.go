package deployment

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// Usage is what a daemon's process has used since its start.
type Usage struct {
	Processor time.Duration
	// Resident is its memory now, in bytes.
	Resident int64
	// Read and Written are the bytes that passed through its descriptors.
	Read    int64
	Written int64
}

// UsageError reports a process whose accounts cannot be read.
type UsageError struct {
	PID   int
	Cause error
}

func (e *UsageError) Error() string { return fmt.Sprintf("usage of process %d: %v", e.PID, e.Cause) }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// Usage returns what the host's daemon has used.
func (h *Host) Usage() (Usage, error) {
	pid := h.DaemonPID()
	process, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, &UsageError{PID: pid, Cause: err}
	}
	stat, err := process.Stat()
	if err != nil {
		return Usage{}, &UsageError{PID: pid, Cause: err}
	}
	io, err := process.IO()
	if err != nil {
		return Usage{}, &UsageError{PID: pid, Cause: err}
	}
	return Usage{
		Processor: time.Duration(stat.CPUTime() * float64(time.Second)),
		Resident:  int64(stat.ResidentMemory()),
		Read:      int64(io.RChar),
		Written:   int64(io.WChar),
	}, nil
}
