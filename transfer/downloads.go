package transfer

import (
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// maxPacing bounds the time that a response waits for those before it. Admission keeps the usual wait far below it.
	maxPacing = 250 * time.Millisecond
	// maxClasses bounds the classes whose sizes are kept. Their names come from other daemons.
	maxClasses = 64
)

// downloads limits the calls of one host whose responses are large. It is not safe for concurrent use.
type downloads struct {
	linkRate float64
	bucket   bucket
	// sizes are the mean sizes of responses by class, and typical that of all.
	sizes   map[class.Name]*meanSize
	typical meanSize
	// sentUntil is when the responses that were passed to the link have left it.
	sentUntil time.Time
}

func newDownloads(linkRate float64) *downloads {
	return &downloads{linkRate: linkRate, bucket: newBucket(linkRate, downloadLimit), sizes: map[class.Name]*meanSize{}}
}

// expected returns the size that is expected of a response of a class.
func (d *downloads) expected(name class.Name) float64 {
	if s := d.sizes[name]; s != nil {
		return s.bytes()
	}
	return initialSize
}

// admit takes the expected size of a response of a class, or returns the time after which there is room for it.
func (d *downloads) admit(now time.Time, name class.Name) (bytes float64, retryAfter time.Duration) {
	bytes = d.expected(name)
	if delay := d.bucket.delay(now, bytes); delay > 0 {
		return bytes, delay
	}
	d.bucket.add(now, bytes)
	return bytes, 0
}

// end corrects the bytes taken for an admitted call by the size of its response, and learns the size if the server
// answered the call.
func (d *downloads) end(now time.Time, name class.Name, taken float64, bytes int, isAnswered bool) {
	d.bucket.add(now, float64(bytes)-taken)
	if !isAnswered {
		return
	}
	s := d.sizes[name]
	if s == nil {
		if len(d.sizes) >= maxClasses {
			clear(d.sizes)
		}
		s = &meanSize{}
		d.sizes[name] = s
	}
	s.observe(bytes)
	d.typical.observe(bytes)
	d.bucket.setBurst(d.typical.bytes())
}

// pace returns how long a response is to wait until those before it have left the link, at most maxWait. Calls that are
// admitted one after the other may end together.
func (d *downloads) pace(now time.Time, bytes int, maxWait time.Duration) time.Duration {
	if d.linkRate <= 0 {
		return 0
	}
	wait := max(0, min(d.sentUntil.Sub(now), maxWait, maxPacing))
	d.sentUntil = now.Add(wait + transferTime(float64(bytes), d.linkRate))
	return wait
}
