// Package caller accepts calls over HTTP, classifies them, selects a backend server for each, retries where that is
// safe, and reports the outcome to the caller.
package caller

import (
	"sync/atomic"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Server is a backend server and the daemon on its host.
type Server struct {
	Host   ownership.HostID
	Domain ownership.FailureDomain
	// HopAddress is the address at which the daemon accepts forwarded calls.
	HopAddress string
	// IsUsable reports whether the server accepts new calls.
	IsUsable bool
	// IsShuttingDown reports whether the daemon is shutting down. Until it ends, it serves only calls for the keys that
	// it still owns.
	IsShuttingDown bool
	// IsEvacuated reports whether the failure domain of the server is evacuated. While the server is usable, it serves only
	// calls for the keys that it still owns.
	IsEvacuated bool
	Instance    ownership.Instance
	// Concurrency is the number of calls that the server runs at a time.
	Concurrency int
	// WarmupUntil is the time until which the server is slow after its start.
	WarmupUntil time.Time
	// ColdRate is this daemon's share of the requests per second that a cold server of the service accepts, or zero if
	// the service has no such limit.
	ColdRate float64
	// Via is the server through whose daemon this one is reached, or nil if it is reached directly. It is set for single
	// attempts only.
	Via *Server
}

// isLimited reports whether the server is cold and accepts a limited rate.
func (s *Server) isLimited(now time.Time) bool { return s.ColdRate > 0 && now.Before(s.WarmupUntil) }

// takesUnkeyed reports whether the server accepts calls without a key.
func (s *Server) takesUnkeyed() bool { return s.IsUsable && !s.IsShuttingDown && !s.IsEvacuated }

// ServiceRoute holds the backend servers of one service and, for a keyed service, the owners of its keys.
type ServiceRoute struct {
	IsKeyed bool
	Servers []Server
	// Record maps the keys of a keyed service to their owners. It is nil while unknown.
	Record *ownership.Record
	// RecordSeenAt is when this daemon first routed by the record, or zero if that is not known.
	RecordSeenAt time.Time
	byHost       map[ownership.HostID]*Server
	// isEvacuated reports whether the failure domains of all servers are evacuated.
	isEvacuated bool
}

// NewServiceRoute returns the route of a service with the given servers and ownership record.
func NewServiceRoute(isKeyed bool, servers []Server, record *ownership.Record) *ServiceRoute {
	r := &ServiceRoute{
		IsKeyed: isKeyed, Servers: servers, Record: record, byHost: map[ownership.HostID]*Server{},
		isEvacuated: len(servers) > 0,
	}
	for i := range servers {
		r.byHost[servers[i].Host] = &servers[i]
		r.isEvacuated = r.isEvacuated && servers[i].IsEvacuated
	}
	return r
}

// owner returns the server that owns a key, or nil if the owner is unknown or not usable.
func (r *ServiceRoute) owner(key class.Key) *Server {
	if r.Record == nil {
		return nil
	}
	s := r.byHost[r.Record.Owner(key)]
	if s == nil || !s.IsUsable {
		return nil
	}
	return s
}

// fence returns the fence under which the record assigns a key. It rises when the key is assigned anew.
func (r *ServiceRoute) fence(key class.Key) ownership.Fence {
	if r.Record == nil {
		return 0
	}
	return r.Record.Keys.At(key).Fence
}

// Routes maps each service to its route.
type Routes map[class.Service]*ServiceRoute

// hasHost reports whether a host is in the route of any service.
func (r Routes) hasHost(host ownership.HostID) bool {
	for _, route := range r {
		if route.byHost[host] != nil {
			return true
		}
	}
	return false
}

// Table holds the current routes. Reading them takes no lock.
type Table struct {
	current atomic.Pointer[tableSnapshot]
}

type tableSnapshot struct {
	routes   Routes
	replaced chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&tableSnapshot{replaced: make(chan struct{})})
	return t
}

// Set replaces the routes and wakes the calls that wait for a change of routes.
func (t *Table) Set(routes Routes) {
	old := t.current.Swap(&tableSnapshot{routes: routes, replaced: make(chan struct{})})
	close(old.replaced)
}

// Lookup returns the route of a service, or nil, and a channel that is closed when the routes change.
func (t *Table) Lookup(service class.Service) (*ServiceRoute, <-chan struct{}) {
	s := t.current.Load()
	return s.routes[service], s.replaced
}
