package transfer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
)

//go:generate go tool stringer -type=Event -linecomment

// Event is what happened to a transfer.
type Event int

const (
	// Reserved means that the place for an upload was reserved.
	Reserved Event = iota // reserved
	// UploadRejected means that the link had no room for an upload.
	UploadRejected // upload_rejected
	// Unreserved means that an upload of more than MaxUnreserved bytes came without a valid reservation.
	Unreserved // unreserved
	// Expired means that a reservation ended without its body.
	Expired // expired
	// DownloadRejected means that the link had no room for the response of a call.
	DownloadRejected // download_rejected
)

// Decision describes one event, for logs and metrics.
type Decision struct {
	Event   Event
	Class   class.Name
	Request class.RequestID
	Bytes   int
	// RetryAfter is the time after which there may be room, if the transfer was rejected.
	RetryAfter time.Duration
}

// Gate decides about the bulk transfers of one host. Links carry both directions at once, so uploads and downloads do not
// limit each other. It is safe for concurrent use.
type Gate struct {
	clock    clockwork.Clock
	observer func(Decision)

	mu        sync.Mutex
	random    *rand.Rand
	uploads   *uploads
	downloads *downloads
	expired   int
}

// NewGate returns a gate for a host with a link of the given speed. Zero means that the speed is unknown, and that nothing
// is limited. The observer must not block.
func NewGate(linkMbps float64, observer func(Decision), clock clockwork.Clock, seed uint64) *Gate {
	linkRate := linkMbps * bitsPerMbit / bitsPerByte
	g := &Gate{
		clock: clock, observer: observer, random: rand.New(rand.NewPCG(seed, 11)), downloads: newDownloads(linkRate),
	}
	g.uploads = newUploads(linkRate, func() { g.expired++ })
	return g
}

// Reserve reserves the place of an upload and returns its token, or zero and the time after which there may be room.
func (g *Gate) Reserve(name class.Name, request class.RequestID, bytes int) (Token, time.Duration) {
	d := Decision{Event: Reserved, Class: name, Request: request, Bytes: bytes}
	g.mu.Lock()
	token := Token(g.random.Uint64() | 1) // never zero
	d.RetryAfter = g.uploads.reserve(g.clock.Now(), token, bytes)
	g.mu.Unlock()
	if d.RetryAfter > 0 {
		d.Event, token = UploadRejected, 0
	}
	g.observe(d)
	return token, d.RetryAfter
}

// Reservations returns the number of reserved uploads that have not arrived.
func (g *Gate) Reservations() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uploads.expire(g.clock.Now())
	return len(g.uploads.reserved)
}

// Upload is a body that is arriving.
type Upload struct {
	gate *Gate
	// token is zero if the body has no valid reservation.
	token   Token
	name    class.Name
	request class.RequestID
}

// Begin records that the body of an upload begins to arrive. A token that is not valid counts as none.
func (g *Gate) Begin(name class.Name, request class.RequestID, token Token) Upload {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.uploads.begin(g.clock.Now(), token) {
		token = 0
	}
	return Upload{gate: g, token: token, name: name, request: request}
}

// IsReserved reports whether the place of the upload was reserved.
func (u Upload) IsReserved() bool { return u.token != 0 }

// End records that the body has arrived, or that it will not, with the bytes that were received.
func (u Upload) End(bytes int) {
	g := u.gate
	g.mu.Lock()
	if u.IsReserved() {
		g.uploads.end(g.clock.Now(), u.token, bytes)
	} else {
		g.uploads.charge(g.clock.Now(), bytes)
	}
	g.mu.Unlock()
	if !u.IsReserved() && bytes > MaxUnreserved {
		g.observe(Decision{Event: Unreserved, Class: u.name, Request: u.request, Bytes: bytes})
	}
}

// Download is a call that was admitted for the size of its response.
type Download struct {
	gate  *Gate
	name  class.Name
	taken float64
}

// Admit admits a call with a large response, or returns the time after which there is room for the response.
func (g *Gate) Admit(name class.Name, request class.RequestID) (Download, time.Duration) {
	g.mu.Lock()
	bytes, retryAfter := g.downloads.admit(g.clock.Now(), name)
	g.mu.Unlock()
	if retryAfter > 0 {
		g.observe(Decision{
			Event: DownloadRejected, Class: name, Request: request, Bytes: int(bytes), RetryAfter: retryAfter,
		})
	}
	return Download{gate: g, name: name, taken: bytes}, retryAfter
}

// End records the size of the response and returns how long it is to wait for the responses before it, maxWait at most.
func (d Download) End(bytes int, isAnswered bool, maxWait time.Duration) time.Duration {
	g := d.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.downloads.end(now, d.name, d.taken, bytes, isAnswered)
	if !isAnswered {
		return 0
	}
	return g.downloads.pace(now, bytes, maxWait)
}

// observe passes a decision on, after the expired reservations that were found meanwhile.
func (g *Gate) observe(d Decision) {
	g.mu.Lock()
	expired := g.expired
	g.expired = 0
	g.mu.Unlock()
	for range expired {
		g.observer(Decision{Event: Expired})
	}
	g.observer(d)
}
