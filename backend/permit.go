package backend

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Permit states which calls a daemon may currently send to its backend server. The control goroutine replaces it as a
// whole, and the goroutines that serve calls only read it.
type Permit struct {
	// IsUsable reports whether the server accepts new calls.
	IsUsable bool
	// IsKeysOnly reports whether the server accepts only calls for keys that it holds, because its failure domain is
	// evacuated.
	IsKeysOnly bool
	// Instance is the ID of the server instance (one run of its process) that the calls are meant for, and ServerInstance
	// that instance.
	Instance       string
	ServerInstance ownership.Instance
	// IsLeaving reports whether the server has announced its end.
	IsLeaving bool
	// IsKeyed reports whether calls with a key are limited to Keys, until KeysValidUntil.
	IsKeyed bool
	// Keys maps the keys that the server holds to true.
	Keys keyspace.Map[bool]
	// KeysValidUntil is the time until which the server holds the keys.
	KeysValidUntil time.Time
	// Concurrency is the number of calls that the server runs at a time.
	Concurrency int
	// Warmup is the limit while the server is cold. ColdUntil is when that ends, as the server stated in the heartbeat in
	// which it was found; Runner.StateWarmup applies later statements.
	Warmup    admission.WarmupLimit
	ColdUntil time.Time
}

// isUsableFor reports whether the server accepts a call if it holds the call's key.
func (p *Permit) isUsableFor(c call.Call) bool {
	return p.IsUsable && (!p.IsKeysOnly || p.IsKeyed && c.HasKey)
}

// allows reports whether a call may start at the given time.
func (p *Permit) allows(now time.Time, c call.Call) bool {
	if !p.isUsableFor(c) {
		return false
	}
	if !p.IsKeyed || !c.HasKey {
		return true
	}
	return p.Keys.At(c.Key) && now.Before(p.KeysValidUntil)
}

// activePermit is the permit in force, with the server's client and a channel that is closed when it is replaced.
type activePermit struct {
	Permit
	client   *Client
	replaced chan struct{}
}
