package peer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

const (
	// reservePath is the target of requests to reserve a place. The target of a call is chosen by its caller, so the
	// receiver distinguishes the requests by reserveHeader.
	reservePath = "/skylark/reserve"
	// reserveTimeout limits the time of a request to reserve a place, so that a daemon that hangs does not take the time
	// for another server. It is many round trips.
	reserveTimeout = 400 * time.Millisecond
	// unsupportedTime is how long uploads are sent to a daemon without a reservation after it has rejected the request as
	// invalid. It may be replaced by a newer version then.
	unsupportedTime = 10 * time.Second
)

// reservationSupport records which daemons do not know reservations. It is safe for concurrent use.
type reservationSupport struct {
	onUnsupported func(ownership.HostID)

	mu               sync.Mutex
	unsupportedUntil map[string]time.Time
}

// ObserveUnsupported sets the observer of daemons that do not know reservations. It must be called before the first call,
// and the observer must not block.
func (h *HopClient) ObserveUnsupported(onUnsupported func(ownership.HostID)) {
	h.reservations.onUnsupported = onUnsupported
}

func (s *reservationSupport) isUnsupported(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.unsupportedUntil[address]
	if ok && !now.Before(until) {
		delete(s.unsupportedUntil, address)
		return false
	}
	return ok
}

func (s *reservationSupport) setUnsupported(host ownership.HostID, address string, now time.Time) {
	s.mu.Lock()
	if s.unsupportedUntil == nil {
		s.unsupportedUntil = map[string]time.Time{}
	}
	s.unsupportedUntil[address] = now.Add(unsupportedTime)
	s.mu.Unlock()
	if s.onUnsupported != nil {
		s.onUnsupported(host)
	}
}

// reserve asks the daemon of a host to reserve the place of an upload, and returns the token of the reservation or the
// result that rejects the call. Both are empty for calls that need no reservation and for daemons that know none.
//
// The request has no timeLeftHeader, without which a daemon of an earlier version rejects it as invalid. It therefore
// cannot run as a call without its body.
func (h *HopClient) reserve(
	ctx context.Context, host ownership.HostID, address string, c call.Call,
) (token string, rejected *call.Result) {
	now := h.clock.Now()
	isReserved := c.Class.Bulk == class.Upload && len(c.Body) > transfer.MaxUnreserved
	if !isReserved || h.reservations.isUnsupported(address, now) {
		return "", nil
	}
	remaining := c.Deadline.Sub(now)
	if remaining <= 0 {
		return "", ptr(call.NotRun(call.Late))
	}
	header := h.callHeader(host, c, http.Header{})
	header.Set(reserveHeader, formatFields(int64(len(c.Body)), remaining.Microseconds()))
	header.Set("User-Agent", "") // prevents net/http from adding one
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: reservePath}, Host: c.Host, Header: header}
	limited, cancel := clockwork.WithTimeout(ctx, h.clock, min(remaining, reserveTimeout))
	defer cancel()
	response, err := h.poolFor(address).Do(limited, request, "", func(r *http.Response, _ bool) bool {
		return r.Header.Get(requestHeader) == string(c.ID)
	})
	switch {
	case errors.Is(err, link.ErrCallerGone):
		return "", ptr(call.NotRun(call.CallerGone))
	case err != nil && ctx.Err() != nil:
		return "", ptr(call.NotRun(call.EndReason(ctx)))
	case err != nil:
		return "", ptr(call.NotRun(call.Unreachable))
	}
	if token := response.Header.Get(reservationHeader); token != "" {
		return token, nil
	}
	result := parseResult(response)
	if result.Outcome != class.NotRun {
		return "", ptr(call.NotRun(call.Unreachable)) // not a response of a daemon, and the call was not sent
	}
	if result.Reason == call.BadRequest {
		h.reservations.setUnsupported(host, address, now)
		return "", nil
	}
	return "", &result
}

func ptr[T any](value T) *T { return &value }
