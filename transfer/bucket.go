// Package transfer decides which bulk transfers a host may begin, so that they never fill its link: bodies of uploads are
// reserved before they are sent, and calls with large responses are admitted by the size that is expected.
package transfer

import "time"

// limit is the share of a link that the bulk transfers of one direction may use, and their burst in typical bodies.
type limit struct{ share, burstBodies float64 }

var (
	// uploadLimit leaves a small message the free link about a third of the time, and otherwise one or two bodies before
	// it. Close to a share of 1 the queue of the link grows without a bound.
	uploadLimit = limit{share: 0.65, burstBodies: maxUploads}
	// downloadLimit may be greater, because responses are sent one after the other (see downloads.pace). The burst lets
	// some calls run at a time.
	downloadLimit = limit{share: 0.75, burstBodies: 4}
)

const (
	// maxDebt bounds the time for which bytes that were not reserved, for instance those of an earlier version's daemon,
	// keep others away.
	maxDebt = time.Second
	// initialSize is the size in bytes that is assumed of a body before the first one.
	initialSize = 64 << 10
	// sizeWeight is the weight of one body in the moving average of sizes.
	sizeWeight = 0.1

	bitsPerByte = 8
	bitsPerMbit = 1_000_000
)

// transferTime returns the time that a number of bytes takes at a rate in bytes per second.
func transferTime(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}

// bucket is a token bucket of bytes. Its level may be negative after transfers that were not reserved.
type bucket struct {
	// rate is in bytes per second, and zero if the link is unknown.
	rate float64
	// burstBodies is the burst in typical bodies.
	burstBodies float64
	level       float64
	burst       float64
	updatedAt   time.Time
}

func newBucket(linkRate float64, l limit) bucket {
	burst := l.burstBodies * initialSize
	return bucket{rate: l.share * linkRate, burstBodies: l.burstBodies, level: burst, burst: burst}
}

// refill adds the bytes that the rate has permitted since the last invocation.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && !b.updatedAt.IsZero() {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
	}
	b.updatedAt = now
}

// setBurst adapts the burst to the size of a typical body.
func (b *bucket) setBurst(typical float64) {
	b.burst = b.burstBodies * typical
	b.level = min(b.level, b.burst)
}

// delay returns the time until there is room for a transfer. One that is larger than the burst needs a full bucket.
func (b *bucket) delay(now time.Time, bytes float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := min(bytes, b.burst) - b.level
	return transferTime(max(0, missing), b.rate)
}

// add takes bytes from the bucket, or returns them to it if there are fewer than zero.
func (b *bucket) add(now time.Time, bytes float64) {
	b.refill(now)
	b.level = max(-b.rate*maxDebt.Seconds(), min(b.burst, b.level-bytes))
}

// meanSize is a moving average of the sizes of bodies.
type meanSize struct{ value float64 }

// observe adds a size. The first one replaces the value that is assumed.
func (m *meanSize) observe(bytes int) {
	if m.value == 0 {
		m.value = float64(bytes)
		return
	}
	m.value += sizeWeight * (float64(bytes) - m.value)
}

// bytes returns the average, or the size that is assumed before the first observation.
func (m *meanSize) bytes() float64 {
	if m.value == 0 {
		return initialSize
	}
	return m.value
}
