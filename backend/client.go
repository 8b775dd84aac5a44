// Package backend sends calls to the backend server on the daemon's host, within the key grants that are in force, and
// reports for each whether it was answered, did not run, or has an unknown outcome.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
)

const (
	// dialTimeout limits the time to connect to the backend server, which is on the same host.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is the time after which a connection is closed if sent data is not acknowledged.
	ackTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept, unless the server's Keep-Alive header announces a shorter time.
	idleTimeout = 5 * time.Second
	// maxResponseBody is the size limit of a response body in bytes. A server in trouble may send a body without end on
	// each of its connections, and all of them together have to fit into the memory of a small host.
	maxResponseBody = 8 << 20
)

// Client sends calls to one backend server.
type Client struct {
	address     string
	headerNames call.HeaderNames
	clock       clockwork.Clock
	pool        *link.Pool
	// health is for health checks, so that those never follow a call on a connection on which a full server hangs.
	health *link.Pool
}

// NewClient returns a client for the backend server at an address. It keeps at most maxIdle idle connections and calls
// onDial for each connection that it opens.
func NewClient(
	address string, maxIdle int, headerNames call.HeaderNames, onDial func(), clock clockwork.Clock,
) *Client {
	options := link.Options{
		DialTimeout:  dialTimeout,
		AckTimeout:   ackTimeout,
		IdleTimeout:  idleTimeout,
		MaxIdleConns: maxIdle,
		MaxBody:      maxResponseBody,
		OnDial:       onDial,
	}
	healthOptions := options
	healthOptions.MaxIdleConns, healthOptions.MaxBody, healthOptions.OnDial = 1, maxHealthBody, nil
	return &Client{
		address:     address,
		headerNames: headerNames,
		clock:       clock,
		pool:        link.NewPool(address, options, clock),
		health:      link.NewPool(address, healthOptions, clock),
	}
}

// ObserveIdleClosed sets the function that is called when the server has closed an idle connection. It must be called
// before the first call, and the function must not block.
func (client *Client) ObserveIdleClosed(onIdleClosed func()) {
	client.pool.ObserveIdleClosed(onIdleClosed)
}

// LimitMemory bounds the memory of incomplete responses. It must be called before the first call.
func (client *Client) LimitMemory(m *link.Memory) { client.pool.LimitMemory(m) }

// Close closes the idle connections.
func (client *Client) Close() {
	client.pool.Close()
	client.health.Close()
}

// Active returns the number of calls that are in progress on open connections.
func (client *Client) Active() int { return client.pool.Active() }

// IsRefusing reports whether no process listens at the server's address.
func (client *Client) IsRefusing(ctx context.Context) bool {
	return link.IsRefused(ctx, client.address, dialTimeout)
}

// Do sends a call once to the given instance of the backend server and returns its result. An empty instance means any.
func (client *Client) Do(ctx context.Context, c call.Call, instance string) call.Result {
	remainingMS := c.Deadline.Sub(client.clock.Now()).Milliseconds()
	if remainingMS < 1 {
		return call.NotRun(call.Late)
	}
	header := c.Header.Clone()
	header.Set(client.headerNames.DeadlineMS, strconv.FormatInt(remainingMS, 10))
	header.Set(client.headerNames.Origin, string(c.Origin))
	if instance != "" {
		header.Set(client.headerNames.ExpectedInstance, instance)
	}
	request := NewRequest(c, header)
	response, err := client.pool.Do(ctx, request, string(c.ID), func(r *http.Response, isFirst bool) bool {
		echoedID := r.Header.Get(client.headerNames.RequestID)
		// On a connection in use, a rejection without an ID may be that of an earlier request once more.
		isUnidentifiedRejection := isFirst && echoedID == "" && client.isRejection(r.StatusCode, r.Header)
		return echoedID == string(c.ID) || isUnidentifiedRejection
	})
	if err != nil {
		result := ErrorResult(ctx, err, !client.clock.Now().Before(c.Deadline))
		result.IsDisconnected = isDisconnection(err)
		return result
	}
	result := client.parseResponse(response)
	result.Notice = client.parseNotice(response.Header)
	return result
}

// isDisconnection reports whether an error means that the other side closed the connection.
func isDisconnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// parseNotice returns what the server states about itself in the headers of a response.
func (client *Client) parseNotice(header http.Header) *call.Notice {
	notice := &call.Notice{
		RateLimit: rate.Inf,
		IsLeaving: header.Get(client.headerNames.Leaving) == call.LeavingValue,
	}
	if text := header.Get(client.headerNames.ServerLoad); text != "" {
		notice.Load, notice.LoadErr = call.ParseServerLoad(client.headerNames.ServerLoad, text)
	}
	name := client.headerNames.RateLimit
	text := header.Get(name)
	if text == "" {
		return notice
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		notice.Err = &call.NoticeError{Header: name, Value: text}
		return notice
	}
	notice.RateLimit = rate.Limit(limit)
	return notice
}

// isRejection reports whether a response means that the server did not run the call.
func (client *Client) isRejection(status int, header http.Header) bool {
	return status == http.StatusMisdirectedRequest || header.Get(client.headerNames.NotExecuted) != ""
}

// parseResponse converts a response to a result. A response without a signature that is not a rejection is not known to
// come from the backend server, so the outcome is unknown.
func (client *Client) parseResponse(r *link.Response) call.Result {
	if client.isRejection(r.Status, r.Header) {
		if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
			return call.NotRun(call.Shed)
		}
		return call.NotRun(call.Refused)
	}
	if r.Header.Get(client.headerNames.Signature) == "" {
		return call.Unknown(call.AnswerLost)
	}
	call.StripHopByHop(r.Header)
	return call.Result{Outcome: class.Answered, Status: r.Status, Header: r.Header, Body: r.Body}
}

// NewRequest returns the HTTP request for a call, with the given headers. Package link sends its target byte for byte.
func NewRequest(c call.Call, header http.Header) *http.Request {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding one, as the caller sent none
	}
	request := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Opaque: c.URI},
		Host:          c.Host,
		Header:        header,
		ContentLength: int64(len(c.Body)),
		Body:          http.NoBody,
	}
	if len(c.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.Body))
	}
	return request
}

// ErrorResult returns the result of a call whose request failed with err: not run if nothing was sent, otherwise
// unknown.
func ErrorResult(ctx context.Context, err error, isPastDeadline bool) call.Result {
	var unsent *link.UnsentError
	isUnsent := errors.As(err, &unsent)
	isCancelled := errors.Is(context.Cause(ctx), context.Canceled) || errors.Is(err, link.ErrCallerGone)
	switch {
	case isUnsent && isPastDeadline:
		return call.NotRun(call.Late)
	case isUnsent && isCancelled:
		return call.NotRun(call.CallerGone)
	case isUnsent:
		return call.NotRun(call.Unreachable)
	case isPastDeadline || errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return call.Unknown(call.TimedOut)
	case isCancelled:
		return call.Unknown(call.CallerGone)
	default:
		return call.Unknown(call.AnswerLost)
	}
}
