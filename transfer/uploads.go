package transfer

import (
	"time"
)

// Token identifies a reservation. Zero is none.
type Token uint64

// MaxUnreserved is the size of a body in bytes up to which no place is reserved for it. It costs the link hardly more than
// the additional round trip.
const MaxUnreserved = 16 << 10

const (
	// maxUploads is the number of bodies that may be on their way to one host. With one, the link would idle for a round
	// trip after each body, and a sender that ends would block it until its reservation expires. Each further one
	// delays a small message by the time of one body.
	maxUploads = 2
	// reservationTime is how long a reservation waits for its body to begin. It is many round trips.
	reservationTime = 300 * time.Millisecond
	// maxUploadTime is how long a body that has begun counts as on its way. Its sender may have frozen.
	maxUploadTime = 2 * time.Second
)

// reservation is a place for one body on the link.
type reservation struct {
	bytes     int
	hasBegun  bool
	expiresAt time.Time
}

// uploads limits the bodies that are sent to one host. It is not safe for concurrent use.
type uploads struct {
	linkRate  float64
	bucket    bucket
	size      meanSize
	reserved  map[Token]reservation
	onExpired func()
}

func newUploads(linkRate float64, onExpired func()) *uploads {
	return &uploads{
		linkRate: linkRate, bucket: newBucket(linkRate, uploadLimit), reserved: map[Token]reservation{}, onExpired: onExpired,
	}
}

// reserve reserves a place for a body under the token, or returns the time after which there may be room.
func (u *uploads) reserve(now time.Time, token Token, bytes int) (retryAfter time.Duration) {
	u.expire(now)
	delay := u.bucket.delay(now, float64(bytes))
	if u.linkRate > 0 && len(u.reserved) >= maxUploads {
		delay = max(delay, transferTime(float64(bytes), u.linkRate))
	}
	if delay > 0 {
		return delay
	}
	u.size.observe(bytes)
	u.bucket.setBurst(u.size.bytes())
	u.bucket.add(now, float64(bytes))
	u.reserved[token] = reservation{bytes: bytes, expiresAt: now.Add(reservationTime)}
	return 0
}

// begin records that the body of a reservation begins to arrive. It returns false if there is no such reservation, or if
// its body has begun before.
func (u *uploads) begin(now time.Time, token Token) bool {
	u.expire(now)
	r, ok := u.reserved[token]
	if !ok || r.hasBegun {
		return false
	}
	r.hasBegun, r.expiresAt = true, now.Add(maxUploadTime)
	u.reserved[token] = r
	return true
}

// end records that a body has arrived, with the size that was received.
func (u *uploads) end(now time.Time, token Token, bytes int) {
	r, ok := u.reserved[token]
	if !ok {
		return
	}
	delete(u.reserved, token)
	u.bucket.add(now, float64(bytes-r.bytes))
}

// charge records a body that arrived without a reservation.
func (u *uploads) charge(now time.Time, bytes int) { u.bucket.add(now, float64(bytes)) }

// expire removes the reservations whose time is over. The bytes of a body that did not begin are returned.
func (u *uploads) expire(now time.Time) {
	for token, r := range u.reserved {
		if now.Before(r.expiresAt) {
			continue
		}
		delete(u.reserved, token)
		if !r.hasBegun {
			u.bucket.add(now, -float64(r.bytes))
		}
		u.onExpired()
	}
}
