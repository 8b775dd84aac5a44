package link

import (
	"fmt"
	"io"
	"sync"
)

const (
	// unmeteredBytes is the part of each incomplete body that does not count. Nearly all bodies are shorter.
	unmeteredBytes = 64 << 10
	// memoryChunk is the step in which memory is reserved.
	memoryChunk = 64 << 10
	// growthFactor is how much memory a body takes while it is read, in proportion to its size: the buffer that it is
	// copied from is still in use when the buffer grows.
	growthFactor = 2
	// maxPresizedBytes is the size of the longest body for which a buffer of the stated length is allocated before the
	// body arrives. It exceeds the unmetered part by one chunk.
	maxPresizedBytes = unmeteredBytes + memoryChunk
)

// Memory bounds the memory that long bodies take together while they are incomplete and, if it has a budget, also while
// they are held. Each body has a limit of its own, but servers in trouble send bodies without end on many connections at
// once. A nil Memory bounds nothing. It is safe for concurrent use.
type Memory struct {
	maxIncomplete int64

	mu sync.Mutex
	// budget is zero if complete bodies do not count.
	budget int64
	// incomplete is the memory reserved by ReadBody, and held that of all Holds.
	incomplete, held int64
}

// NewMemory returns a bound of the given number of bytes for incomplete bodies, without a budget.
func NewMemory(maxIncomplete int64) *Memory { return &Memory{maxIncomplete: maxIncomplete} }

// MemoryError reports a body that was given up because bodies in transit take too much memory.
type MemoryError struct {
	// Limit is the bound of all bodies, and Read the size of this one so far, in bytes.
	Limit, Read int64
}

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("body given up after %d bytes: bodies in transit take more than %d bytes", e.Read, e.Limit)
}

// reserve reserves memory for an incomplete body. It returns the bound that is exceeded if there is not enough.
func (m *Memory) reserve(bytes int64) (exceeded int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incomplete+bytes > m.maxIncomplete {
		return m.maxIncomplete, false
	}
	if m.budget > 0 && m.incomplete+m.held+bytes > m.budget {
		return m.budget, false
	}
	m.incomplete += bytes
	return 0, true
}

func (m *Memory) unreserve(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incomplete -= bytes
}

// ReadBody reads a body to its end. The length is the stated one, or negative if none is stated; the body may differ from
// it. The error is a MemoryError if the bound is exceeded.
func (m *Memory) ReadBody(body io.Reader, length int64) ([]byte, error) {
	if m == nil {
		return readAll(body, length)
	}
	metered := &meteredReader{body: body, memory: m}
	defer func() { m.unreserve(metered.reserved) }()
	if length > unmeteredBytes && length <= maxPresizedBytes {
		if err := metered.reserve(); err != nil {
			return nil, err
		}
	}
	return readAll(metered, length)
}

// readAll is io.ReadAll with a buffer of the stated length, which spares the copies of a buffer that grows.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPresizedBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, length+1) // the end of the body is found without growth
	read := 0
	for {
		n, err := body.Read(data[read:])
		read += n
		switch {
		case err == io.EOF:
			return data[:read], nil
		case err != nil:
			return data[:read], err
		case read == len(data):
			rest, err := io.ReadAll(body)
			return append(data, rest...), err
		}
	}
}

// meteredReader reserves memory for what it reads.
type meteredReader struct {
	body           io.Reader
	memory         *Memory
	read, reserved int64
}

// reserve reserves another chunk.
func (r *meteredReader) reserve() error {
	if exceeded, ok := r.memory.reserve(memoryChunk); !ok {
		return &MemoryError{Limit: exceeded, Read: r.read}
	}
	r.reserved += memoryChunk
	return nil
}

// Read implements io.Reader.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += int64(n)
	for growthFactor*(r.read-unmeteredBytes) > r.reserved {
		if err := r.reserve(); err != nil {
			return n, err
		}
	}
	return n, err
}
