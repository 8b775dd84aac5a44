package caller

import (
	"context"
	"sync"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// inFlight holds the calls that wait for answers, by daemon, so that the wait for a lost daemon can be ended.
type inFlight struct {
	mu    sync.Mutex
	next  uint64
	calls map[ownership.Ref]map[uint64]context.CancelFunc
}

func newInFlight() *inFlight {
	return &inFlight{calls: map[ownership.Ref]map[uint64]context.CancelFunc{}}
}

// add returns a context that ends when the daemon is lost. The returned function must be called at the end of the call.
func (f *inFlight) add(ctx context.Context, to ownership.Ref) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	id := f.next
	if f.calls[to] == nil {
		f.calls[to] = map[uint64]context.CancelFunc{}
	}
	f.calls[to][id] = cancel
	return ctx, func() { f.remove(to, id) }
}

func (f *inFlight) remove(to ownership.Ref, id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel := f.calls[to][id]; cancel != nil {
		cancel()
	}
	delete(f.calls[to], id)
	if len(f.calls[to]) == 0 {
		delete(f.calls, to)
	}
}

// abort ends the wait for a daemon's answers.
func (f *inFlight) abort(lost ownership.Ref) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.calls[lost] {
		cancel()
	}
}
