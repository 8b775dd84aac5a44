// Package class describes classes of work: what operators promise callers for each kind of request.
package class

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Name identifies a class of work, for example "hallmark-query".
type Name string

// Service identifies a group of backend servers that run the same program.
type Service string

// Slot is the unit of ownership: every key hashes to one slot of its service.
type Slot uint16

// RequestID identifies one call through every hop.
type RequestID string

// Key is a caller's key: a lot, an order or a delivery.
type Key string

// SlotOf returns the slot of a key among count slots.
func SlotOf(key Key, count int) Slot {
	return Slot(xxhash.Sum64String(string(key)) % uint64(count))
}

// Class is one kind of work and the promise that operators make for it.
type Class struct {
	Name    Name
	Service Service
	// Method and Path select the calls of the class. A keyed class names its key with the
	// wildcard {key}, in the pattern language of net/http.ServeMux.
	Method string
	Path   string
	// Rank orders classes by worth: 1 is the most urgent.
	Rank Rank
	// Latency is the time within which a call should be answered.
	Latency time.Duration
	// Timeout ends a call that brings no deadline of its own.
	Timeout time.Duration
	// Success is the share of calls, from 0 to 1, that must be answered.
	Success float64
	// Idempotent says that running a call twice does no harm.
	Idempotent bool
	// Keyed says that a call belongs to the server that owns its key.
	Keyed bool
}

// Rank orders classes: 1 is the most urgent.
type Rank int

// Set is the classes in force, at one revision of the configuration.
type Set struct {
	Revision Revision
	Classes  []Class
}

// Revision counts the accepted changes of the operators' configuration.
type Revision uint64

// Find returns the class with the given name.
func (s Set) Find(name Name) (Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
