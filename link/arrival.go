package link

import (
	"context"
	"sync"
	"time"
)

// blockedTime is how long a read takes at least if nothing had arrived when it began.
const blockedTime = time.Millisecond

// ArrivalMeter measures when the requests of one connection arrived, from the reads of the connection. Requests that a
// caller sends ahead are read together with an earlier one, or wait behind their first byte. It is safe for concurrent use.
type ArrivalMeter struct {
	mu sync.Mutex
	// firstAt is the end of the first read since the last request, or zero. A read that had to wait begins anew.
	firstAt time.Time
	lastAt  time.Time
	// onRead is called at the next read that returns data, or nil.
	onRead func()
}

// Observe records a read that returned data, with the times at which it began and ended.
func (m *ArrivalMeter) Observe(begunAt, endedAt time.Time) {
	m.mu.Lock()
	if m.firstAt.IsZero() || endedAt.Sub(begunAt) >= blockedTime {
		m.firstAt = endedAt
	}
	m.lastAt = endedAt
	onRead := m.onRead
	m.onRead = nil
	m.mu.Unlock()
	if onRead != nil {
		onRead()
	}
}

// OnRead sets the function that is called at the next read that returns data, or none if it is nil.
func (m *ArrivalMeter) OnRead(onRead func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onRead = onRead
}

// TakeArrival returns when the next request arrived. It is called once for each request, when its head has been read.
func (m *ArrivalMeter) TakeArrival() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	arrivedAt := m.firstAt
	if arrivedAt.IsZero() {
		arrivedAt = m.lastAt
	}
	m.firstAt = time.Time{}
	return arrivedAt
}

// arrivalConn is a connection with an ArrivalMeter.
type arrivalConn interface {
	TakeArrival() time.Time
	OnRead(onRead func())
}

// OnReadAhead calls a function when something arrives behind the request that runs, until the returned function is called.
// From then on, net/http does not notice the end of the connection.
func OnReadAhead(ctx context.Context, onReadAhead func()) (stop func()) {
	p, ok := ctx.Value(connKey{}).(*probe)
	if !ok || p.arrivals == nil {
		return func() {}
	}
	p.arrivals.OnRead(onReadAhead)
	return func() { p.arrivals.OnRead(nil) }
}

// TakeWait returns how long a request waited on its connection behind an earlier one. It is called once for each request.
func TakeWait(ctx context.Context) time.Duration {
	p, ok := ctx.Value(connKey{}).(*probe)
	if !ok || p.arrivals == nil {
		return 0
	}
	arrivedAt := p.arrivals.TakeArrival()
	if arrivedAt.IsZero() {
		return 0
	}
	// Reads of a connection are measured by the operating system's clock.
	return time.Since(arrivedAt)
}
