package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
)

// dialTimeout bounds the making of a connection to the server on the same host.
const dialTimeout = 250 * time.Millisecond

// hopHeaders belong to one connection and are not passed on. The caller's idempotency key is left out too:
// net/http replays requests that carry one.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	call.IdempotencyHeader, "X-Idempotency-Key", call.RepeatHeader, call.TimeoutHeader,
}

// Client gives orders to one backend server.
type Client struct {
	address string
	maxBody int64
	clock   clockwork.Clock
	http    *http.Client
}

// NewClient returns a client that keeps within the server's connections and reads answers up to maxBody bytes.
func NewClient(a Announcement, maxBody int64, clock clockwork.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Slots,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
	}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		address: a.Address,
		maxBody: maxBody,
		clock:   clock,
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirects},
	}
}

// countedConn counts the bytes written, so that a failed order is known to have reached nobody.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b))) // counted first: bytes in a failed write may have left
	return c.Conn.Write(b)
}

// sending watches how far an order has got.
type sending struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	begun  atomic.Bool
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				s.before.Store(conn.written.Load())
				s.conn.Store(conn)
			}
		},
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				s.begun.Store(true)
			}
			return nil
		},
	}
}

// isUnsent tells whether no byte of the order left this host.
func (s *sending) isUnsent() bool {
	conn := s.conn.Load()
	return conn == nil || conn.written.Load() == s.before.Load()
}

// onceBody is a body that net/http cannot rewind.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// OnceBody returns a request body that net/http cannot rewind, so that it never replays the request by itself.
func OnceBody(data []byte) io.ReadCloser { return onceBody{bytes.NewReader(data)} }

// Do gives an order and returns the whole answer, or what is known of it.
func (c *Client) Do(ctx context.Context, work call.Call, o Order, grant time.Duration) call.Answer {
	progress := &sending{}
	ctx = httptrace.WithClientTrace(ctx, progress.trace())
	request, err := c.request(ctx, work, o, grant)
	if err != nil {
		return call.NotRun(call.BadRequest)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failed(ctx, progress)
	}
	defer response.Body.Close()
	if refusal := response.Header.Get(RefusedHeader); refusal != "" {
		_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be used again
		if refusal == Shed.String() {
			return call.NotRun(call.Shed)
		}
		return call.NotRun(call.Refused)
	}
	echo := response.Header.Get(RequestHeader)
	if echo != "" && echo != string(work.ID) {
		return call.Unknown(call.AnswerLost)
	}
	body, ok := ReadWhole(response, c.maxBody)
	if !ok {
		return call.Unknown(call.AnswerLost)
	}
	header := response.Header.Clone()
	strip(header)
	return call.Answer{Outcome: class.Answered, Status: response.StatusCode, Header: header, Body: body}
}

func (c *Client) request(ctx context.Context, work call.Call, o Order, grant time.Duration) (*http.Request, error) {
	body := OnceBody(work.Body)
	request, err := http.NewRequestWithContext(ctx, work.Method, "http://"+c.address+work.URI, body)
	if err != nil {
		return nil, &OrderError{Header: "URI"}
	}
	request.ContentLength = int64(len(work.Body))
	if len(work.Body) == 0 && work.Class.Idempotent {
		request.Body = http.NoBody // only idempotent work may be replayed by net/http
	}
	request.Header = work.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	strip(request.Header)
	request.Header.Set(EpochHeader, strconv.FormatUint(uint64(o.Epoch), 10))
	request.Header.Set(SlotHeader, strconv.Itoa(o.Slot))
	request.Header.Set(FenceHeader, strconv.FormatUint(uint64(o.Fence), 10))
	request.Header.Set(DeadlineHeader, strconv.FormatInt(o.Deadline.Milliseconds(), 10))
	request.Header.Set(GrantHeader, strconv.FormatInt(grant.Milliseconds(), 10))
	request.Header.Set(RequestHeader, string(work.ID))
	request.Header.Set(ClassHeader, string(work.Class.Name))
	return request, nil
}

// failed tells what a broken order may have done.
func failed(ctx context.Context, progress *sending) call.Answer {
	reason := call.AnswerLost
	if ctx.Err() != nil {
		reason = call.Interrupted
	}
	if !progress.isUnsent() {
		return call.Unknown(reason)
	}
	if reason == call.AnswerLost {
		reason = call.Unreachable
	}
	return call.NotRun(reason)
}

// ReadWhole reads a body up to a size. A body whose end cannot be told from a cut is not whole.
func ReadWhole(response *http.Response, maxBody int64) ([]byte, bool) {
	hasEnd := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1
	if !hasEnd || response.ContentLength > maxBody {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil || int64(len(body)) > maxBody {
		return nil, false
	}
	return body, true
}

func strip(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// GrantError reports a backend server that did not take a grant.
type GrantError struct {
	Status int
	Cause  error
}

func (e *GrantError) Error() string {
	if e.Cause != nil {
		return "grant: " + e.Cause.Error()
	}
	return "grant: status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *GrantError) Unwrap() error { return e.Cause }

// Grant extends the server's grant and returns the stamp for the next one.
func (c *Client) Grant(ctx context.Context, g Grant) (Stamp, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return Stamp{}, &GrantError{Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+GrantPath, bytes.NewReader(data))
	if err != nil {
		return Stamp{}, &GrantError{Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Stamp{}, &GrantError{Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Stamp{}, &GrantError{Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return Stamp{}, &GrantError{Status: response.StatusCode}
	}
	var stamp Stamp
	if err := json.Unmarshal(body, &stamp); err != nil {
		return Stamp{}, &GrantError{Cause: err}
	}
	return stamp, nil
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
