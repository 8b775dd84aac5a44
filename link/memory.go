package link

import (
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// unmeteredBytes is the part of each body that does not count. Nearly all bodies are shorter.
	unmeteredBytes = 64 << 10
	// memoryChunk is the step in which memory is reserved.
	memoryChunk = 64 << 10
	// growthFactor is how much memory a body takes while it is read, in proportion to its size: the buffer that it is
	// copied from is still in use when the buffer grows.
	growthFactor = 2
)

// Memory bounds the memory that long bodies take together while they are incomplete. Each body has a limit of its own, but
// servers in trouble send bodies without end on many connections at once. A nil Memory bounds nothing. It is safe for
// concurrent use.
type Memory struct {
	available *semaphore.Weighted
	limit     int64
}

// NewMemory returns a bound of the given number of bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{available: semaphore.NewWeighted(limit), limit: limit}
}

// MemoryError reports a body that was given up because bodies in transit take too much memory.
type MemoryError struct {
	// Limit is the bound of all bodies, and Read the size of this one so far, in bytes.
	Limit, Read int64
}

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("body given up after %d bytes: bodies in transit take more than %d bytes", e.Read, e.Limit)
}

// ReadAll reads a body to its end. The error is a MemoryError if the bound is exceeded.
func (m *Memory) ReadAll(body io.Reader) ([]byte, error) {
	if m == nil {
		return io.ReadAll(body)
	}
	metered := &meteredReader{body: body, memory: m}
	defer func() { m.available.Release(metered.reserved) }()
	return io.ReadAll(metered)
}

// meteredReader reserves memory for what it reads.
type meteredReader struct {
	body           io.Reader
	memory         *Memory
	read, reserved int64
}

// Read implements io.Reader.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += int64(n)
	for growthFactor*(r.read-unmeteredBytes) > r.reserved {
		if !r.memory.available.TryAcquire(memoryChunk) {
			return n, &MemoryError{Limit: r.memory.limit, Read: r.read}
		}
		r.reserved += memoryChunk
	}
	return n, err
}
