package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

const (
	// reservedWaitShare is the share of its remaining time that a call whose body has been sent on a reservation may at
	// least be queued. Sending the body to another server costs more than a longer wait.
	reservedWaitShare = 0.5
	// pacingReserve is the time before the deadline of a call at which its response no longer waits for others. It covers
	// the transfer of a typical response.
	pacingReserve = 100 * time.Millisecond
)

// Transfers limits the bulk bodies of forwarded calls, to protect the link of the host. Calls of classes without bulk
// bodies are not concerned.
type Transfers struct {
	Gate *transfer.Gate
	// CanStart returns nil if the backend server is expected to start a call within its maximum wait, after a number of
	// calls that have reserved a place, and otherwise the result that rejects the call.
	CanStart func(c call.Call, reserved int) *call.Result
}

// parseBulk parses the direction of a class with bulk bodies.
func parseBulk(text string) class.Bulk {
	switch text {
	case class.Upload.String():
		return class.Upload
	case class.Download.String():
		return class.Download
	default:
		return class.NoBulk
	}
}

// isReservation reports whether a request is one to reserve the place of an upload.
func (t *Transfers) isReservation(r *http.Request) bool {
	return t != nil && r.Header.Get(reserveHeader) != ""
}

// serveReservation answers a request to reserve the place of an upload.
func (h HopReceiver) serveReservation(w http.ResponseWriter, r *http.Request, delays *delayMeter) {
	token, result, err := h.reserve(w, r, delays)
	if err != nil {
		h.OnInvalid(err)
		result = call.NotRun(call.BadRequest)
	}
	result.Host = string(h.Host)
	if token != 0 {
		w.Header().Set(reservationHeader, strconv.FormatUint(uint64(token), 16))
	}
	if err := writeResult(w, r.Header.Get(requestHeader), result); err != nil && r.Context().Err() == nil {
		h.OnInvalid(&MessageError{Part: "response", Cause: err.Error()})
	}
}

// reserve reserves the place of an upload if the server is expected to start the call and the link has room. Otherwise it
// returns no token and the result that rejects the call.
func (h HopReceiver) reserve(
	w http.ResponseWriter, r *http.Request, delays *delayMeter,
) (transfer.Token, call.Result, error) {
	var fields [2]int64
	text := r.Header.Get(reserveHeader)
	if parseFields(text, fields[:]) < len(fields) || fields[0] <= 0 || fields[0] > hopMaxBody {
		return 0, call.Result{}, &MessageError{Part: reserveHeader, Cause: "invalid value " + strconv.Quote(text)}
	}
	r.Header.Set(timeLeftHeader, strconv.FormatInt(fields[1], 10))
	hold := h.Memory.Hold()
	defer hold.Release()
	c, _, err := h.parseCall(w, r, delays, &hold)
	if err == nil {
		// The body is held when it arrives. What it does not find room for then has been sent in vain.
		err = call.ReserveBodies(&hold, h.Memory, class.Upload, fields[0])
	}
	var noRoom *call.NoRoomError
	if errors.As(err, &noRoom) {
		return 0, h.Bodies.Reject(c.ID, err), nil
	}
	if err != nil {
		return 0, call.Result{}, err
	}
	if r.Header.Get(targetHeader) != string(h.Host) || c.Service != h.Service {
		return 0, call.NotRun(call.NotOwner), nil
	}
	if !h.Clock.Now().Before(c.Deadline) {
		return 0, call.NotRun(call.Late), nil
	}
	if rejected := h.Transfers.CanStart(c, h.Transfers.Gate.Reservations()); rejected != nil {
		return 0, *rejected, nil
	}
	token, retryAfter := h.Transfers.Gate.Reserve(c.Class.Name, c.ID, int(fields[0]))
	if token == 0 {
		return 0, linkFull(retryAfter), nil
	}
	return token, call.NotRun(call.None), nil
}

// linkFull returns the result of a call for whose bodies the link has no room.
func linkFull(retryAfter time.Duration) call.Result {
	result := call.NotRun(call.LinkFull)
	result.RetryAfter = retryAfter
	return result
}

// arrivingUpload is the body of a forwarded call while it arrives, or nothing if the call is no upload.
type arrivingUpload struct {
	upload transfer.Upload
	isSet  bool
}

// beginUpload records that the body of a call begins to arrive.
func (t *Transfers) beginUpload(r *http.Request) arrivingUpload {
	if t == nil || parseBulk(r.Header.Get(bulkHeader)) != class.Upload || r.ContentLength == 0 {
		return arrivingUpload{}
	}
	// A token that cannot be read is zero, which is none.
	token, _ := strconv.ParseUint(r.Header.Get(reservationHeader), 16, 64)
	name, request := class.Name(r.Header.Get(classHeader)), class.RequestID(r.Header.Get(requestHeader))
	return arrivingUpload{upload: t.Gate.Begin(name, request, transfer.Token(token)), isSet: true}
}

// end records that the body of a call has arrived, or that it will not. A call with a reservation may then wait longer
// than the bound of its offer.
func (u arrivingUpload) end(now time.Time, c *call.Call) {
	if !u.isSet {
		return
	}
	u.upload.End(len(c.Body))
	if u.upload.IsReserved() && c.MaxWait > 0 {
		c.MaxWait = max(c.MaxWait, time.Duration(reservedWaitShare*float64(c.Deadline.Sub(now))))
	}
}

// runTransfer runs a call. One with a large response is rejected if the link has no room for it, and its response waits for those
// that were sent before.
func (h HopReceiver) runTransfer(ctx context.Context, c call.Call) call.Result {
	t := h.Transfers
	if t == nil || c.Class.Bulk != class.Download {
		return h.Runner.Run(ctx, c)
	}
	download, retryAfter := t.Gate.Admit(c.Class.Name, c.ID)
	if retryAfter > 0 {
		return linkFull(retryAfter)
	}
	result := h.Runner.Run(ctx, c)
	limit := c.Deadline.Sub(h.Clock.Now()) - pacingReserve
	wait := download.End(len(result.Body), result.Outcome == class.Answered, limit)
	if wait <= 0 {
		return result
	}
	timer := h.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return result
}
