// Package class describes classes of work: what operators promise callers for each kind of request.
package class

import "time"

// Name identifies a class of work, for example "hallmark-query".
type Name string

// Service identifies a group of backend servers that run the same program.
type Service string

// Key is the part of a service's state that a request is about. Services that are divided by key give each key to
// exactly one backend server at a time.
type Key uint16

// KeyCount is how many keys a service has.
const KeyCount = 1 << 16

// RequestID identifies one attempt of a caller through every hop.
type RequestID string

// Class is one kind of work and the promise that operators make for it.
type Class struct {
	Name Name
	// Host and Prefix select the requests of the class.
	Host   string
	Prefix string
	// Destinations are the services that share the class, by weight.
	Destinations []Destination
	// Rank orders classes by urgency: 0 is the most urgent.
	Rank Rank
	// Latency is the time within which a call should be answered.
	Latency time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Success is the share of calls, from 0 to 1, that must be answered.
	Success float64
	// Idempotent says that running a call twice does no harm.
	Idempotent bool
	// Attempts bounds the backend servers to which one call may be sent.
	Attempts int
}

// Destination is a service that takes a share of a class.
type Destination struct {
	Service Service
	Weight  int
}

// Rank orders classes: 0 is the most urgent.
type Rank int

// Version counts the operators' configurations. Later ones are greater.
type Version uint64

// ServiceSettings is what operators say of a service.
type ServiceSettings struct {
	Name Service
	// HealthPath is where its backend servers answer health checks.
	HealthPath string
	// MaxConnections bounds the connections that one of its backend servers accepts.
	MaxConnections int
	// IsKeyed says that each key belongs to one backend server.
	IsKeyed bool
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the operators' configuration.
type Config struct {
	Version  Version
	Classes  []Class
	Services map[Service]ServiceSettings
	Limits   Limits
}
