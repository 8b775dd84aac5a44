// Package backend speaks with the backend server beside a daemon: it gives it work inside the daemon's grants and tells
// exactly what became of it.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/link"
)

const (
	// dialTimeout bounds the making of a connection to the backend server, which is on the same host.
	dialTimeout = 250 * time.Millisecond
	// silenceTimeout ends a connection to a backend server that acknowledges nothing.
	silenceTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept where the server does not say.
	idleTimeout = 5 * time.Second
	// maxAnswer bounds an answer's body.
	maxAnswer = 64 << 20
)

// Client gives work to one backend server.
type Client struct {
	names call.HeaderNames
	clock clockwork.Clock
	pool  *link.Pool
}

// NewClient returns a client of the backend server at an address that keeps at most so many unused connections.
func NewClient(address string, maxIdle int, names call.HeaderNames, onDial func(), clock clockwork.Clock) *Client {
	return &Client{names: names, clock: clock, pool: link.NewPool(address, link.Options{
		DialTimeout:    dialTimeout,
		SilenceTimeout: silenceTimeout,
		IdleTimeout:    idleTimeout,
		MaxIdle:        maxIdle,
		MaxBody:        maxAnswer,
		OnDial:         onDial,
	}, clock)}
}

// Close ends the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Do gives a call to one life of the backend server and returns its answer, or what is known of it.
func (c *Client) Do(ctx context.Context, work call.Call, instance string) call.Result {
	left := work.Deadline.Sub(c.clock.Now()).Milliseconds()
	if left < 1 {
		return call.NotRun(call.Late)
	}
	header := work.Header.Clone()
	header.Set(c.names.DeadlineMS, strconv.FormatInt(left, 10))
	header.Set(c.names.Origin, string(work.Origin))
	if instance != "" {
		header.Set(c.names.ExpectedInstance, instance)
	}
	request := NewRequest(work, header)
	response, err := c.pool.Do(ctx, request, func(r *http.Response) bool {
		echo := r.Header.Get(c.names.RequestID)
		isOwnRefusal := echo == "" && c.isRefusal(r.StatusCode, r.Header)
		return echo == string(work.ID) || isOwnRefusal
	})
	if err != nil {
		return Failed(ctx, err, !c.clock.Now().Before(work.Deadline))
	}
	return c.read(response)
}

func (c *Client) isRefusal(status int, header http.Header) bool {
	return status == http.StatusMisdirectedRequest || header.Get(c.names.NotExecuted) != ""
}

// read tells what an answer says of the call.
func (c *Client) read(r *link.Response) call.Result {
	if c.isRefusal(r.Status, r.Header) {
		if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
			return call.NotRun(call.Shed)
		}
		return call.NotRun(call.Refused)
	}
	if r.Header.Get(c.names.Signature) == "" {
		return call.Unknown(call.AnswerLost)
	}
	call.StripConnection(r.Header)
	return call.Result{Outcome: class.Answered, Status: r.Status, Header: r.Header, Body: r.Body}
}

// NewRequest builds the request of a call with given headers.
func NewRequest(work call.Call, header http.Header) *http.Request {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // none is sent where the caller sent none
	}
	request := &http.Request{
		Method:        work.Method,
		URL:           targetOf(work.URI),
		Host:          work.Host,
		Header:        header,
		ContentLength: int64(len(work.Body)),
		Body:          http.NoBody,
	}
	if len(work.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(work.Body))
	}
	return request
}

// targetOf keeps a request target byte for byte.
func targetOf(uri string) *url.URL {
	if strings.HasPrefix(uri, "//") {
		path, query, _ := strings.Cut(uri, "?")
		return &url.URL{Path: path, RawPath: path, RawQuery: query}
	}
	return &url.URL{Opaque: uri}
}

// Failed tells what a request that failed may have done.
func Failed(ctx context.Context, err error, isOver bool) call.Result {
	var unsent *link.UnsentError
	isUnsent := errors.As(err, &unsent)
	isCancelled := errors.Is(context.Cause(ctx), context.Canceled)
	switch {
	case isUnsent && isOver:
		return call.NotRun(call.Late)
	case isUnsent && isCancelled:
		return call.NotRun(call.CallerGone)
	case isUnsent:
		return call.NotRun(call.Unreachable)
	case isOver || errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return call.Unknown(call.TimedOut)
	case isCancelled:
		return call.Unknown(call.CallerGone)
	default:
		return call.Unknown(call.AnswerLost)
	}
}
