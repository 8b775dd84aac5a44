package peer

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// processID identifies one run of a daemon.
type processID uint64

// sendTime is when a call was sent, by the boot clock of the sender's host.
type sendTime struct {
	process processID
	at      ownership.Instant
}

// String encodes the process in hexadecimal and the time in microseconds.
func (t sendTime) String() string {
	us := time.Duration(t.at).Microseconds()
	return strconv.FormatUint(uint64(t.process), 16) + "," + strconv.FormatInt(us, 10)
}

func parseSendTime(text string) (sendTime, error) {
	processText, timeText, _ := strings.Cut(text, ",")
	process, err := strconv.ParseUint(processText, 16, 64)
	if err != nil {
		return sendTime{}, &MessageError{Part: sentHeader, Cause: err.Error()}
	}
	us, err := strconv.ParseInt(timeText, 10, 64)
	if err != nil {
		return sendTime{}, &MessageError{Part: sentHeader, Cause: err.Error()}
	}
	return sendTime{process: processID(process), at: ownership.Instant(time.Duration(us) * time.Microsecond)}, nil
}

const (
	// baseDelayWindow is how long the smallest delay is kept at least, and twice this time at most while calls arrive.
	// After it, the delay of a new route is the usual one.
	baseDelayWindow = 30 * time.Second
	// baseDelayMaxAge is how long the smallest delay is kept without calls. The clocks of two hosts drift apart by some
	// 0.1 ms a second at most.
	baseDelayMaxAge = 5 * time.Minute
)

// delayMeter measures how much longer than usual calls were on their way from other daemons, including the time that
// they waited unread. The clocks of two hosts do not agree, so it compares the difference of their clocks with the
// smallest one of the last calls, as LEDBAT does (RFC 6817). It is safe for concurrent use.
type delayMeter struct {
	mu    sync.Mutex
	bases map[processID]*baseDelay
	// prunedAt is when bases that are too old were last removed.
	prunedAt ownership.Instant
}

// baseDelay is the smallest difference between the clocks of a sender and this host.
type baseDelay struct {
	current, previous   time.Duration
	startedAt, updateAt ownership.Instant
}

func newDelayMeter() *delayMeter { return &delayMeter{bases: map[processID]*baseDelay{}} }

// observe returns the delay of a call in addition to the usual one, from the header that states when it was sent. It is
// zero for calls of daemons that do not state it.
func (m *delayMeter) observe(header string, arrivedAt ownership.Instant) (time.Duration, error) {
	if header == "" {
		return 0, nil
	}
	sent, err := parseSendTime(header)
	if err != nil {
		return 0, err
	}
	difference := arrivedAt.Sub(sent.at)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(arrivedAt)
	b := m.bases[sent.process]
	switch {
	case b == nil:
		b = &baseDelay{current: difference, previous: difference, startedAt: arrivedAt}
		m.bases[sent.process] = b
	case arrivedAt.Sub(b.startedAt) >= baseDelayWindow:
		b.previous, b.current, b.startedAt = b.current, difference, arrivedAt
	default:
		b.current = min(b.current, difference)
	}
	b.updateAt = arrivedAt
	return max(0, difference-min(b.current, b.previous)), nil
}

// prune removes the bases of senders whose last call is too old.
func (m *delayMeter) prune(now ownership.Instant) {
	if now.Sub(m.prunedAt) < baseDelayWindow {
		return
	}
	m.prunedAt = now
	maps.DeleteFunc(m.bases, func(_ processID, b *baseDelay) bool { return now.Sub(b.updateAt) > baseDelayMaxAge })
}
