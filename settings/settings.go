package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Settings is the configuration that a daemon reads from its settings file.
type Settings struct {
	Host          ownership.HostID
	FailureDomain ownership.FailureDomain
	Service       class.Service
	// Address is the IP address of the host, and Advertise the one at which other daemons reach it.
	Address   string
	Advertise string
	// FirstPort and LastPort are the range of the ports for traffic between daemons, which is the same on all hosts.
	FirstPort int
	LastPort  int
	// Seeds are addresses of hosts whose daemons may already be members of the mesh. Only the IP addresses are used.
	Seeds []string

	Platform Platform
	Caller   Listener
	Ready    Listener
	Backend  Backend
	Stop     Stop
	Retries  Retries
	Warmup   Warmup
	// EvacuationTime is the time within which the servers of an evacuated failure domain stop to get requests. Zero means
	// that the deployment has no evacuations.
	EvacuationTime time.Duration
	// HedgingShare is the maximum ratio of hedged attempts to requests, for each service. Zero disables hedging.
	HedgingShare float64
	Limits       Limits
	Log          Log
	Timeline     Timeline
	Profile      Profile
}

// Platform is the address of the platform's store, and the timeout of calls to it.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Listener is an address on which a daemon listens.
type Listener struct{ Listen string }

// Backend configures the connection to the backend server beside the daemon.
type Backend struct {
	// Listen is the address on which the daemon receives heartbeats.
	Listen string
	// Address is the address at which the backend server accepts requests.
	Address string
	// HeartbeatInterval is the interval at which the backend server sends heartbeats.
	HeartbeatInterval time.Duration
	// DrainTime is how long the backend server may still be sent requests after it has announced its shutdown.
	DrainTime time.Duration
	// MaxHold is the maximum time for which the backend server may hold keys without a heartbeat.
	MaxHold time.Duration
	// MaxRequestsMB bounds the request bodies that are outstanding at the backend server, in megabytes, under
	// configurations that ask for load-aware decisions.
	MaxRequestsMB int
}

// Stop configures the shutdown of the process.
type Stop struct {
	// GraceTime is how long the process may run after the signal to stop.
	GraceTime time.Duration
}

// Retries is the retry budget: it limits the attempts of requests after the first, over all daemons.
type Retries struct {
	// Ratio is the maximum ratio of retries to requests, for each service.
	Ratio float64
	// Slack is the number of retries that are allowed in each Window in addition to Ratio.
	Slack  float64
	Window time.Duration
}

// Warmup bounds the requests that a cold backend server gets within one second: Overage times its warm-up rate, and
// Slack.
type Warmup struct {
	Overage float64
	Slack   float64
}

// Limits configures the resource limits of a daemon.
type Limits struct {
	// MemoryMB is the memory limit of the process in megabytes. Zero means that the limit is unknown.
	MemoryMB int
	// LinkMbps is the speed of the host's link in Mbit/s. Zero means that it is unknown, and that bulk transfers are not
	// limited.
	LinkMbps float64
}

// Log configures the log of the process.
type Log struct {
	Level  string
	Format string
	// LinesPerSecond limits the lines about single requests. Lines beyond the limit are omitted and counted.
	LinesPerSecond int
}

// Profile configures the profiles of the process on the operator address.
type Profile struct{ Enabled bool }

// Timeline configures how many events a daemon keeps.
type Timeline struct{ Events int }

// Offsets from FirstPort of the ports for traffic between daemons, and the number of these ports.
const (
	forwardPortOffset = iota
	controlPortOffset
	operatorPortOffset
	portCount
)

// ForwardAddress returns the address on which this daemon receives forwarded calls.
func (s Settings) ForwardAddress() string { return s.portAddress(s.Address, forwardPortOffset) }

// ControlAddress returns the address on which this daemon receives control messages.
func (s Settings) ControlAddress() string { return s.portAddress(s.Address, controlPortOffset) }

// OperatorAddress returns the address on which this daemon serves its status, timeline and metrics.
func (s Settings) OperatorAddress() string { return s.portAddress(s.Address, operatorPortOffset) }

// AdvertisedForwardAddress returns the address to which other daemons forward calls.
func (s Settings) AdvertisedForwardAddress() string {
	return s.portAddress(s.Advertise, forwardPortOffset)
}

// AdvertisedControlAddress returns the address to which other daemons send control messages.
func (s Settings) AdvertisedControlAddress() string {
	return s.portAddress(s.Advertise, controlPortOffset)
}

func (s Settings) portAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.FirstPort+offset))
}

// SeedControlAddresses returns the control addresses of all seeds except this host.
func (s Settings) SeedControlAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != s.Address {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.FirstPort+controlPortOffset)))
		}
	}
	return addresses
}

// FileError reports that a file could not be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "read " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads and validates a daemon's settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &FileError{Path: path, Cause: err}
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a daemon's settings file.
func Parse(file string, text []byte) (Settings, error) {
	d := parse(file, text)
	if len(d.problems) > 0 {
		return Settings{}, d.result()
	}
	s := Settings{
		Host:          ownership.HostID(d.stringField("host", nil)),
		FailureDomain: ownership.FailureDomain(d.stringField("failure_domain", nil)),
		Service:       class.Service(d.stringField("service", nil)),
		Address:       d.ip("address", nil),
		FirstPort:     int(d.integer("ports.first", nil, 1, 65535)),
		LastPort:      int(d.integer("ports.last", nil, 1, 65535)),
		Seeds:         d.stringList("seeds"),
		Platform: Platform{
			Address: d.address("platform.address"),
			Timeout: d.duration("platform.timeout", ptr(defaultPlatformTimeout), 10*time.Millisecond, time.Minute),
		},
		Caller: Listener{Listen: d.address("caller.listen")},
		Ready:  Listener{Listen: d.address("ready.listen")},
		Backend: Backend{
			Listen:  d.address("backend.listen"),
			Address: d.address("backend.address"),
			HeartbeatInterval: d.duration(
				"backend.heartbeat_interval", ptr(defaultHeartbeatInterval), 10*time.Millisecond, time.Minute,
			),
			DrainTime:     d.duration("backend.drain_time", ptr(defaultDrainTime), 0, time.Minute),
			MaxHold:       d.duration("backend.hold_most", ptr(defaultMaxHold), 100*time.Millisecond, time.Hour),
			MaxRequestsMB: int(d.integer("backend.max_requests_mb", ptr[int64](defaultMaxRequestsMB), 1, 1<<20)),
		},
		Stop: Stop{GraceTime: d.duration("stop.grace_time", ptr(defaultGraceTime), 100*time.Millisecond, time.Hour)},
		Retries: Retries{
			Ratio:  d.float("retries.share", defaultRetryRatio, 0, 1),
			Slack:  d.float("retries.slack", defaultRetrySlack, 0, 1<<20),
			Window: d.duration("retries.window", ptr(defaultRetryWindow), time.Millisecond, time.Hour),
		},
		Warmup: Warmup{
			Overage: d.float("warmup.overage", defaultWarmupOverage, 1, 100),
			Slack:   d.float("warmup.slack", defaultWarmupSlack, 0, 1<<20),
		},
		EvacuationTime: d.duration("evacuation.time", new(time.Duration), time.Second, time.Hour),
		HedgingShare:   d.float("hedging.share", 0, 0, 1),
		Limits: Limits{
			MemoryMB: int(d.integer("limits.memory_mb", ptr[int64](0), 0, 1<<20)),
			LinkMbps: d.float("limits.link_mbps", 0, 0, 1<<20),
		},
		Log: Log{
			Level:          d.choice("log.level", "info", "trace", "debug", "info", "warn", "error"),
			Format:         d.choice("log.format", "json", "text", "json"),
			LinesPerSecond: int(d.integer("log.lines_per_second", ptr[int64](defaultLogLinesPerSecond), 0, 1<<20)),
		},
		Timeline: Timeline{Events: int(d.integer("timeline.events", ptr[int64](defaultTimelineEvents), 1, 1<<20))},
		Profile:  Profile{Enabled: d.boolean("profile.enabled")},
	}
	s.Advertise = d.ip("advertise", &s.Address)
	s.checkConsistency(d)
	if err := d.result(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

const (
	// defaultPlatformTimeout is well above the response time of a store that is 60 times slower than usual.
	defaultPlatformTimeout   = 700 * time.Millisecond
	defaultHeartbeatInterval = time.Second
	// The following defaults are the values in the contract for small deployments.
	defaultDrainTime   = 2 * time.Second
	defaultMaxHold     = 10 * time.Second
	defaultGraceTime   = 6 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 60
	defaultRetryWindow = 10 * time.Second
	// The following defaults are the values in the contract for deployments with cold servers.
	defaultWarmupOverage = 1.5
	defaultWarmupSlack   = 8
	// defaultMaxRequestsMB is a hundred times what the slots of a server take with requests of 10 KB each, and leaves a
	// server with 184 MB most of its memory.
	defaultMaxRequestsMB = 8
	// defaultLogLinesPerSecond is about one line per request in a small deployment.
	defaultLogLinesPerSecond = 100
	// defaultTimelineEvents needs about 100 kB of memory.
	defaultTimelineEvents = 512
)

// checkConsistency reports fields that are valid on their own but conflict with each other.
func (s Settings) checkConsistency(d *document) {
	if s.LastPort-s.FirstPort+1 < portCount {
		d.addProblem("ports.last", "must leave room for "+strconv.Itoa(portCount)+" ports")
	}
	listeners := []struct{ field, address string }{
		{"caller.listen", s.Caller.Listen},
		{"ready.listen", s.Ready.Listen},
		{"backend.listen", s.Backend.Listen},
		{"ports.first", s.ForwardAddress()},
		{"ports.first", s.ControlAddress()},
		{"ports.first", s.OperatorAddress()},
	}
	seen := map[string]string{}
	for _, l := range listeners {
		if first, isDuplicate := seen[l.address]; isDuplicate && l.address != "" {
			d.addProblem(l.field, "is the same as "+first)
		}
		seen[l.address] = l.field
	}
}

func ptr[T any](value T) *T { return &value }
