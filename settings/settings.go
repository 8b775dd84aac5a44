package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Settings is what a daemon is told at its start.
type Settings struct {
	Host          ownership.HostID
	FailureDomain ownership.Domain
	Service       class.Service
	// Address is the host's IP number, and Advertise the one under which other daemons reach it.
	Address   string
	Advertise string
	// FirstPort and LastPort bound the ports between daemons. The ports are the same on all hosts.
	FirstPort int
	LastPort  int
	// Seeds are addresses on hosts that may know the mesh; only their IP numbers matter.
	Seeds []string

	Platform Platform
	Caller   Listener
	Ready    Listener
	Backend  Backend
	Stop     Stop
	Retries  Retries
	Limits   Limits
	Log      Log
	Timeline Timeline
}

// Platform tells where the platform's store is.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Listener is an address on which a daemon listens.
type Listener struct{ Listen string }

// Backend is about the backend server beside the daemon.
type Backend struct {
	// Listen takes its heartbeats.
	Listen string
	// Address is where it takes requests.
	Address string
	// HeartbeatInterval is how often it sends heartbeats.
	HeartbeatInterval time.Duration
	// DrainTime is how long after its notice to leave it may still get requests.
	DrainTime time.Duration
	// MaxHold is the longest time for which it may hold keys without a heartbeat.
	MaxHold time.Duration
}

// Stop is about the end of the process.
type Stop struct {
	// GraceTime is how long after the signal to stop the process may run.
	GraceTime time.Duration
}

// Retries bounds the sendings beyond the first of each request, over all daemons.
type Retries struct {
	// Ratio is the part of a service's requests that may be sent once more.
	Ratio float64
	// Slack is how many more are allowed in each Window.
	Slack  float64
	Window time.Duration
}

// Limits bounds what a daemon takes for itself.
type Limits struct {
	// MemoryMB is the memory limit of the process, in megabytes; zero means that none is known.
	MemoryMB int
}

// Log is about the process's log.
type Log struct {
	Level  string
	Format string
	// LinesPerSecond bounds the lines about single requests. What is left out is counted.
	LinesPerSecond int
}

// Timeline is about the events that a daemon keeps.
type Timeline struct{ Events int }

// Ports between daemons, counted from FirstPort.
const (
	hopPort = iota
	controlPort
	operatorPort
	portsUsed
)

// ForwardAddress is where this daemon takes forwarded calls.
func (s Settings) ForwardAddress() string { return s.port(s.Address, hopPort) }

// ControlAddress is where this daemon takes control messages.
func (s Settings) ControlAddress() string { return s.port(s.Address, controlPort) }

// OperatorAddress is where this daemon serves operators, metrics among them.
func (s Settings) OperatorAddress() string { return s.port(s.Address, operatorPort) }

// AdvertisedForwardAddress is where other daemons reach Hop.
func (s Settings) AdvertisedForwardAddress() string { return s.port(s.Advertise, hopPort) }

// AdvertisedControlAddress is where other daemons reach Control.
func (s Settings) AdvertisedControlAddress() string { return s.port(s.Advertise, controlPort) }

func (s Settings) port(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.FirstPort+offset))
}

// SeedControlAddresses returns the control addresses of the seeds.
func (s Settings) SeedControlAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != s.Address {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.FirstPort+controlPort)))
		}
	}
	return addresses
}

// FileError reports a file that cannot be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "read " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads and checks a daemon's settings.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &FileError{Path: path, Cause: err}
	}
	return Parse(path, text)
}

// Parse checks the text of a daemon's settings.
func Parse(file string, text []byte) (Settings, error) {
	d := parse(file, text)
	if len(d.problems) > 0 {
		return Settings{}, d.finish()
	}
	s := Settings{
		Host:          ownership.HostID(d.text("host", nil)),
		FailureDomain: ownership.Domain(d.text("failure_domain", nil)),
		Service:       class.Service(d.text("service", nil)),
		Address:       d.ip("address", nil),
		FirstPort:     int(d.count("ports.first", nil, 1, 65535)),
		LastPort:      int(d.count("ports.last", nil, 1, 65535)),
		Seeds:         d.texts("seeds"),
		Platform: Platform{
			Address: d.address("platform.address"),
			Timeout: d.duration("platform.timeout", ptr(defaultPlatformTimeout), 10*time.Millisecond, time.Minute),
		},
		Caller: Listener{Listen: d.address("caller.listen")},
		Ready:  Listener{Listen: d.address("ready.listen")},
		Backend: Backend{
			Listen:            d.address("backend.listen"),
			Address:           d.address("backend.address"),
			HeartbeatInterval: d.duration("backend.heartbeat_interval", ptr(defaultHeartbeat), 10*time.Millisecond, time.Minute),
			DrainTime:         d.duration("backend.drain_time", ptr(defaultDrain), 0, time.Minute),
			MaxHold:          d.duration("backend.hold_most", ptr(defaultHoldMost), 100*time.Millisecond, time.Hour),
		},
		Stop: Stop{GraceTime: d.duration("stop.grace_time", ptr(defaultGrace), 100*time.Millisecond, time.Hour)},
		Retries: Retries{
			Ratio:  d.number("retries.share", defaultRetryShare, 0, 1),
			Slack:  d.number("retries.slack", defaultRetrySlack, 0, 1<<20),
			Window: d.duration("retries.window", ptr(defaultRetryWindow), time.Millisecond, time.Hour),
		},
		Limits: Limits{MemoryMB: int(d.count("limits.memory_mb", ptr[int64](0), 0, 1<<20))},
		Log: Log{
			Level:          d.oneOf("log.level", "info", "trace", "debug", "info", "warn", "error"),
			Format:         d.oneOf("log.format", "json", "text", "json"),
			LinesPerSecond: int(d.count("log.lines_per_second", ptr[int64](defaultLines), 0, 1<<20)),
		},
		Timeline: Timeline{Events: int(d.count("timeline.events", ptr[int64](defaultEvents), 1, 1<<20))},
	}
	s.Advertise = d.ip("advertise", &s.Address)
	s.checkTogether(d)
	if err := d.finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

const (
	// defaultPlatformTimeout is well above the answers of a store that is sixty times slower than usual.
	defaultPlatformTimeout = 700 * time.Millisecond
	// defaultHeartbeat is used where the settings do not tell.
	defaultHeartbeat = time.Second
	// The following are the figures of the small deployments' contract.
	defaultDrain       = 2 * time.Second
	defaultHoldMost    = 10 * time.Second
	defaultGrace       = 6 * time.Second
	defaultRetryShare  = 0.2
	defaultRetrySlack  = 60
	defaultRetryWindow = 10 * time.Second
	// defaultLines is about one line a request of a small deployment.
	defaultLines = 100
	// defaultEvents takes some 100 kB.
	defaultEvents = 512
)

// checkTogether finds fields that are right by themselves and wrong together.
func (s Settings) checkTogether(d *document) {
	if s.LastPort-s.FirstPort+1 < portsUsed {
		d.fail("ports.last", "must leave room for "+strconv.Itoa(portsUsed)+" ports")
	}
	listens := []struct{ field, address string }{
		{"caller.listen", s.Caller.Listen},
		{"ready.listen", s.Ready.Listen},
		{"backend.listen", s.Backend.Listen},
		{"ports.first", s.ForwardAddress()},
		{"ports.first", s.ControlAddress()},
		{"ports.first", s.OperatorAddress()},
	}
	seen := map[string]string{}
	for _, l := range listens {
		if first, taken := seen[l.address]; taken && l.address != "" {
			d.fail(l.field, "is the same as "+first)
		}
		seen[l.address] = l.field
	}
}

func ptr[T any](value T) *T { return &value }
