package ownership

import "github.com/skylarkrelay/skylarkrelay/class"

// Layout names the keys of the store that the protocol uses.
type Layout struct{ Prefix string }

// Record returns where the record of a service is.
func (l Layout) Record(service class.Service) string { return l.Prefix + "cells/" + string(service) }

// Epoch returns where the epoch of a host is. It outlives the host's leases.
func (l Layout) Epoch(host HostID) string { return l.Prefix + "epochs/" + string(host) }

// Presence returns where the presence of a host is. It hangs on the host's lease.
func (l Layout) Presence(host HostID) string { return l.Prefix + "hosts/" + string(host) }
