// Package class defines classes of requests with their routing, priority and service level objectives, and the other
// types of the operators' configuration.
package class

import "time"

// Name identifies a class of requests, for example "hallmark-query".
type Name string

// Service identifies a group of backend servers that run the same program.
type Service string

// Key identifies the partition of a service's state that a request concerns. A sharded service assigns each key to at
// most one backend server at a time.
type Key uint16

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

// RequestID identifies one attempt of a caller. It stays the same on every hop.
type RequestID string

// Class is a kind of request and the service level that operators configured for it.
type Class struct {
	Name Name
	// Host and Prefix match the host and path of the requests of the class. Prefix ends with a slash.
	Host   string
	Prefix string
	// Destinations are the services among which the calls of the class are divided, by weight.
	Destinations []Destination
	// Rank orders classes by urgency: 0 is the most urgent.
	Rank Rank
	// Latency is the latency target: the time within which a call is to be answered.
	Latency time.Duration
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// Success is the success target: the share of calls that are to be answered, from 0 to 1.
	Success float64
	// Idempotent reports whether a call may safely run more than once.
	Idempotent bool
	// Attempts is the maximum number of backend servers to which one call may be sent.
	Attempts int
	// Bulk states whether the requests or the responses of the class have large bodies.
	Bulk Bulk
}

//go:generate go tool stringer -type=Bulk -linecomment

// Bulk is the direction in which the calls of a class carry large bodies.
type Bulk int

const (
	NoBulk   Bulk = iota // none
	Upload               // upload
	Download             // download
)

// Destination is a service that receives a share of the calls of a class.
type Destination struct {
	Service Service
	Weight  int
}

// Rank orders classes: 0 is the most urgent.
type Rank int

// Version is the version number of the operators' configuration. Later configurations have greater versions.
type Version uint64

// ServiceSettings is the configuration of one service.
type ServiceSettings struct {
	Name Service
	// HealthPath is the path at which the service's backend servers answer health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections that one backend server of the service accepts.
	MaxConnections int
	// IsKeyed reports whether the service is sharded by key: each key is then assigned to one backend server.
	IsKeyed bool
	// WarmupTime is how long a backend server is cold after its start.
	WarmupTime time.Duration
	// WarmupRate is how many requests per second a cold backend server accepts, or zero for no limit.
	WarmupRate float64
}

// Limits bounds the size and timing of callers' requests.
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

// IsLoadAware reports whether the configuration asks for load-aware decisions: it has classes with bulk bodies, or
// services whose cold servers accept a limited rate. Other configurations are served without them.
func (c *Config) IsLoadAware() bool {
	for i := range c.Classes {
		if c.Classes[i].Bulk != NoBulk {
			return true
		}
	}
	for _, s := range c.Services {
		if s.WarmupRate > 0 {
			return true
		}
	}
	return false
}
