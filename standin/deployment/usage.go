package deployment

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// Usage is the resource usage of a daemon's process since its start.
type Usage struct {
	CPUTime time.Duration
	// ResidentBytes is the current size of the resident memory.
	ResidentBytes int64
	// ReadBytes and WrittenBytes count the bytes read and written through all file descriptors, including sockets.
	ReadBytes    int64
	WrittenBytes int64
}

// UsageError reports that the resource usage of a process could not be read.
type UsageError struct {
	PID   int
	Cause error
}

func (e *UsageError) Error() string { return fmt.Sprintf("usage of process %d: %v", e.PID, e.Cause) }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// Usage returns the resource usage of the host's daemon.
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
		CPUTime:       time.Duration(stat.CPUTime() * float64(time.Second)),
		ResidentBytes: int64(stat.ResidentMemory()),
		ReadBytes:     int64(io.RChar),
		WrittenBytes:  int64(io.WChar),
	}, nil
}
