package caller

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// leavingServers holds the servers that stated in a response to this daemon that they are leaving. The daemons beside
// them know that too, but forget it when they restart. It is safe for concurrent use.
type leavingServers struct {
	clock clockwork.Clock
	// header is the name of the response header, or empty to record nothing.
	header string
	// usableTime is how long a server gets calls after its first such response.
	usableTime time.Duration

	mu    sync.Mutex
	since map[ownership.HostID]leavingServer
}

// leavingServer is the instance that is leaving, and the time of its first response that states it.
type leavingServer struct {
	instance ownership.Instance
	since    time.Time
}

// observe records the server if its response states that it is leaving.
func (l *leavingServers) observe(server *Server, result call.Result) {
	isLeaving := l.header != "" && result.Outcome == class.Answered && result.Header.Get(l.header) == call.LeavingValue
	if !isLeaving {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, isKnown := l.since[server.Host]; !isKnown || known.instance != server.Instance {
		l.since[server.Host] = leavingServer{instance: server.Instance, since: l.clock.Now()}
	}
}

// accepts reports whether a server may get another call.
func (l *leavingServers) accepts(server *Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaving, isKnown := l.since[server.Host]
	return !isKnown || leaving.instance != server.Instance || l.clock.Since(leaving.since) < l.usableTime
}

// prune forgets the hosts that are no longer in the routes.
func (l *leavingServers) prune(routes Routes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host := range l.since {
		if !routes.hasHost(host) {
			delete(l.since, host)
		}
	}
}
