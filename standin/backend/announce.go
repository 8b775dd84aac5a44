package backend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	wire "github.com/skylarkrelay/skylarkrelay/backend"
)

// announceInterval is how often a server announces itself.
const announceInterval = 500 * time.Millisecond

// Announce announces the server until the context ends. Errors are reported and tried again.
func (s *Server) Announce(ctx context.Context, daemon string, a wire.Announcement, clock clockwork.Clock, report func(error)) {
	client := &http.Client{Timeout: announceInterval}
	ticker := clock.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		isFrozen := s.fault.Freeze
		s.mu.Unlock()
		if !isFrozen {
			if err := wire.Announce(ctx, client, daemon, a); err != nil && ctx.Err() == nil {
				report(err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
