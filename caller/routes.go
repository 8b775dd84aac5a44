// Package caller serves the calls of callers: it finds the class of each and a server for it, and answers for the outcome.
package caller

import (
	"sync/atomic"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Server is one backend server, with the daemon beside it.
type Server struct {
	Host   ownership.HostID
	Domain ownership.Domain
	// HopAddress is where its daemon takes forwarded calls.
	HopAddress string
	// IsUsable says that it may get new work.
	IsUsable bool
	// IsShuttingDown says that its daemon is stopping: it serves the keys that it still has, and nothing else.
	IsShuttingDown bool
	Instance  ownership.Instance
	Concurrency    int
	// WarmupUntil is until when it is slow after its start.
	WarmupUntil time.Time
}

// Cell is what is known of one service.
type Cell struct {
	IsKeyed bool
	Servers []Server
	// Record says who owns which keys of a keyed service; it may be unknown.
	Record *ownership.Record
	byHost map[ownership.HostID]*Server
}

// NewServiceRoute returns a cell.
func NewServiceRoute(isKeyed bool, servers []Server, record *ownership.Record) *Cell {
	c := &Cell{IsKeyed: isKeyed, Servers: servers, Record: record, byHost: map[ownership.HostID]*Server{}}
	for i := range servers {
		c.byHost[servers[i].Host] = &servers[i]
	}
	return c
}

// owner returns the usable server that owns a key, or nil.
func (c *Cell) owner(key class.Key) *Server {
	if c.Record == nil {
		return nil
	}
	s := c.byHost[c.Record.Owner(key)]
	if s == nil || !s.IsUsable {
		return nil
	}
	return s
}

// Routes holds the cell of each service.
type Routes map[class.Service]*Cell

// knows tells whether a host is in any cell.
func (r Routes) knows(host ownership.HostID) bool {
	for _, cell := range r {
		if cell.byHost[host] != nil {
			return true
		}
	}
	return false
}

// Table gives traffic the newest routes without a lock.
type Table struct {
	current atomic.Pointer[tableState]
}

type tableState struct {
	routes   Routes
	replaced chan struct{}
}

// NewTable returns a table without routes.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&tableState{replaced: make(chan struct{})})
	return t
}

// Set replaces the routes and wakes the calls that wait for a change.
func (t *Table) Set(routes Routes) {
	old := t.current.Swap(&tableState{routes: routes, replaced: make(chan struct{})})
	close(old.replaced)
}

// Cell returns the cell of a service, or nil, and a channel that closes when the routes change.
func (t *Table) Cell(service class.Service) (*Cell, <-chan struct{}) {
	s := t.current.Load()
	return s.routes[service], s.replaced
}
