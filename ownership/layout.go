package ownership

import (
	"strings"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// StoreLayout returns the keys of the store that the protocol uses.
type StoreLayout struct{ Prefix string }

// Record returns the store key of a service's ownership record.
func (l StoreLayout) Record(service class.Service) string {
	return l.Prefix + "cells/" + string(service)
}

// Epoch returns the store key of a host's epoch. The epoch persists when the host's leases end.
func (l StoreLayout) Epoch(host HostID) string { return l.Prefix + "epochs/" + string(host) }

// Departure returns the store key of the newest departure of a host's backend server.
func (l StoreLayout) Departure(host HostID) string { return l.Prefix + "departures/" + string(host) }

// IsDeparture reports whether a store key is that of a departure.
func (l StoreLayout) IsDeparture(key string) bool { return strings.HasPrefix(key, l.Departure("")) }

// Presence returns the store key of a host's presence, which is attached to the host's lease.
func (l StoreLayout) Presence(host HostID) string { return l.Prefix + "hosts/" + string(host) }
