package settings

import (
	"os"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Settings is what a daemon is told at its start.
type Settings struct {
	Host          ownership.HostID
	FailureDomain ownership.Domain

	Platform  Platform
	Caller    Listener
	Hop       Listener
	Peer      Listener
	Backend   Backend
	Operator  Listener
	Limits    Limits
	Ownership Ownership
	Log       Log
	Timeline  Timeline
}

// Platform tells where the platform's key-value service is.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Listener is an address on which a daemon listens.
type Listener struct {
	Listen string
	// Advertise is the address that others use, where it is not the one that is listened on.
	Advertise string
}

// Backend is about the backend server beside the daemon.
type Backend struct {
	// Listen takes the backend server's announcements.
	Listen string
	// Grant is how long a grant lasts.
	Grant time.Duration
	// Guard is what a taker waits in addition if the backend server does not check fences.
	Guard time.Duration
}

// Limits bounds what a daemon takes from callers.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int64
	// DrainTime bounds a graceful stop.
	DrainTime time.Duration
}

// Ownership is about slots and vouches. All daemons of a service need the same values.
type Ownership struct {
	Slots int
	Vouch time.Duration
	Renew time.Duration
}

// Log is about the process's log.
type Log struct {
	Level  string
	Format string
}

// Timeline is about the events that a daemon keeps.
type Timeline struct {
	Events int
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
		Platform: Platform{
			Address: d.address("platform.address"),
			Timeout: d.duration("platform.timeout", ptr(500*time.Millisecond), 10*time.Millisecond, time.Minute),
		},
		Caller:   Listener{Listen: d.address("caller.listen")},
		Hop:      Listener{Listen: d.address("hop.listen"), Advertise: d.addressOr("hop.advertise", "hop.listen")},
		Peer:     Listener{Listen: d.address("peer.listen"), Advertise: d.addressOr("peer.advertise", "peer.listen")},
		Operator: Listener{Listen: d.address("operator.listen")},
		Backend: Backend{
			Listen: d.address("backend.listen"),
			Grant:  d.duration("backend.grant", ptr(time.Second), 100*time.Millisecond, time.Minute),
			Guard:  d.duration("backend.guard", ptr(500*time.Millisecond), 0, time.Minute),
		},
		Limits: Limits{
			BodyBytes:   d.count("limits.body_bytes", ptr[int64](1<<20), 1, 64<<20),
			HeaderBytes: d.count("limits.header_bytes", ptr[int64](16<<10), 1<<10, 32<<10),
			DrainTime:   d.duration("limits.drain_time", ptr(30*time.Second), time.Second, time.Hour),
		},
		Ownership: Ownership{
			Slots: int(d.count("ownership.slots", ptr[int64](1024), 1, 1<<14)),
			Vouch: d.duration("ownership.vouch", ptr(time.Second), 100*time.Millisecond, time.Minute),
			Renew: d.duration("ownership.renew", ptr(400*time.Millisecond), 10*time.Millisecond, time.Minute),
		},
		Log: Log{
			Level:  d.oneOf("log.level", "info", "trace", "debug", "info", "warn", "error"),
			Format: d.oneOf("log.format", "text", "text", "json"),
		},
		Timeline: Timeline{Events: int(d.count("timeline.events", ptr[int64](4096), 1, 1<<20))},
	}
	s.checkTogether(d)
	if err := d.finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// checkTogether finds fields that are right by themselves and wrong together.
func (s Settings) checkTogether(d *document) {
	if s.Ownership.Renew*2 > s.Ownership.Vouch {
		d.fail("ownership.renew", "must be at most half of ownership.vouch, so that one lost message does no harm")
	}
	listens := []struct{ field, address string }{
		{"caller.listen", s.Caller.Listen},
		{"hop.listen", s.Hop.Listen},
		{"peer.listen", s.Peer.Listen},
		{"backend.listen", s.Backend.Listen},
		{"operator.listen", s.Operator.Listen},
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
