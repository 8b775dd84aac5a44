// Package caller serves the calls of callers: it finds the class and the owner of each, and answers for the outcome.
package caller

import (
	"sync/atomic"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Routes holds the newest known cell of each service.
type Routes map[class.Service]*ownership.Record

// knows tells whether a daemon is a member of any cell.
func (r Routes) knows(ref ownership.Ref) bool {
	for _, record := range r {
		if record.Find(ref) != nil {
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
func (t *Table) Cell(service class.Service) (*ownership.Record, <-chan struct{}) {
	state := t.current.Load()
	return state.routes[service], state.replaced
}
