package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/skylarkrelay/skylarkrelay/link"
	"github.com/skylarkrelay/skylarkrelay/membership"
	"github.com/skylarkrelay/skylarkrelay/ownership"
)

// Methods between daemons.
const (
	methodPush   = "push"
	methodDigest = "digest"
	methodNewer  = "newer"
	methodStore  = "store"
)

const (
	// sendQueueCapacity bounds the messages that wait for one peer. More are dropped: digests heal what is missed.
	sendQueueCapacity = 64
	// controlDialTimeout bounds the making of a control connection.
	controlDialTimeout = 250 * time.Millisecond
	// controlAckTimeout ends a control connection to a host that acknowledges nothing.
	controlAckTimeout = 600 * time.Millisecond
	// requestTimeout bounds a call to a peer.
	requestTimeout = 800 * time.Millisecond
	// senderIdleTimeout ends a sender that had nothing to send.
	senderIdleTimeout = 15 * time.Second
)

// Digest is what a daemon knows, summed up, and where it can be asked for it.
type Digest struct {
	From   string            `json:"from"`
	Digest membership.Digest `json:"digest"`
	// Config is the version of the configuration, which has to be in force everywhere in time.
	Config membership.Version `json:"config"`
}

// News is what may be new to the receiver.
type News struct {
	From string `json:"from"`
	// Entries are whole values of the store, and Changes what changed in its records.
	Entries []membership.Entry `json:"entries,omitempty"`
	Changes []ownership.Delta  `json:"changes,omitempty"`
	// Announcements are what daemons say of their backend servers.
	Announcements []membership.Announcement `json:"announcements,omitempty"`
	// Promise says that the receiver will be given keys by a host.
	Promise *Promise `json:"promise,omitempty"`
	// Relay asks the receiver to tell the other daemons of its failure domain.
	Relay bool `json:"relay,omitempty"`
}

// Promise says that a host will give keys away in about a while.
type Promise struct {
	Giver ownership.HostID `json:"giver"`
	InMS  int64            `json:"in_ms"`
}

// notification is one notification on its way.
type notification struct {
	method string
	params any
}

// Pool sends control messages. Each peer has one connection, and one goroutine that owns it.
type Pool struct {
	from string
	lostMessages metrics.Counter
	sentMessages metrics.Counter
	ctx  context.Context

	mu      sync.Mutex
	queues map[string]chan notification
	group   sync.WaitGroup
}

// NewPool returns a pool that names the given address as the sender's. It ends with the context.
func NewPool(ctx context.Context, from string, registry metrics.Registry) *Pool {
	return &Pool{
		from:    from,
		ctx:     ctx,
		lostMessages:    metrics.GetOrRegisterCounter("gossip.messages_lost", registry),
		sentMessages:    metrics.GetOrRegisterCounter("gossip.messages_sent", registry),
		queues: map[string]chan notification{},
	}
}

// Wait returns when all senders have ended, after the context has.
func (p *Pool) Wait() { p.group.Wait() }

// Push sends news to peers, which pass it on in their failure domain if they are asked to relay.
func (p *Pool) Push(to []string, news News) error {
	news.From = p.from
	// It is encoded once for all.
	data, err := json.Marshal(news)
	if err != nil {
		return &MessageError{Part: methodPush, Cause: err.Error()}
	}
	for _, address := range to {
		p.notify(address, methodPush, json.RawMessage(data))
	}
	return nil
}

// Digest tells a peer the sum of all that is known here, and the version of the configuration.
func (p *Pool) Digest(to string, digest membership.Digest, config membership.Version) {
	p.notify(to, methodDigest, Digest{From: p.from, Digest: digest, Config: config})
}

// notify queues a notification; a full queue drops it.
func (p *Pool) notify(to, method string, params any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	queue := p.queues[to]
	if queue == nil {
		queue = make(chan notification, sendQueueCapacity)
		p.queues[to] = queue
		p.group.Go(func() { p.runSender(to, queue) })
	}
	select {
	case queue <- notification{method: method, params: params}:
	default:
		p.lostMessages.Inc(1)
	}
}

// runSender sends the messages of one peer until there has been nothing to send for a while.
func (p *Pool) runSender(to string, queue chan notification) {
	var conn *jsonrpc2.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close() // it may be closed already
		}
	}()
	idleTimer := time.NewTimer(senderIdleTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idleTimer.C:
			if p.removeIdleSender(to, queue) {
				return
			}
			idleTimer.Reset(senderIdleTimeout)
		case message := <-queue:
			idleTimer.Reset(senderIdleTimeout)
			conn = p.send(conn, to, message)
		}
	}
}

// removeIdleSender takes an idle sender out, unless a message has come meanwhile.
func (p *Pool) removeIdleSender(to string, queue chan notification) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, to)
	return true
}

// send sends one message, on a new connection if need be. It returns the connection to go on with, or nil.
func (p *Pool) send(conn *jsonrpc2.Conn, to string, message notification) *jsonrpc2.Conn {
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
			conn = nil
		default:
		}
	}
	if conn == nil {
		newConn, err := dial(p.ctx, to)
		if err != nil {
			p.lostMessages.Inc(1)
			return nil
		}
		conn = newConn
	}
	if err := conn.Notify(p.ctx, message.method, message.params); err != nil {
		_ = conn.Close() // it is broken
		p.lostMessages.Inc(1)
		return nil
	}
	p.sentMessages.Inc(1)
	return conn
}

func dial(ctx context.Context, to string) (*jsonrpc2.Conn, error) {
	dialer := link.Dialer(controlDialTimeout, controlAckTimeout)
	raw, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	return jsonrpc2.NewConn(ctx, newStream(raw), ignoreRequests{}, withoutLog()), nil
}

// newStream bounds each write, so that a frozen peer cannot hold its sender up for good.
func newStream(raw net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(&writeTimeoutConn{Conn: raw})
}

type writeTimeoutConn struct{ net.Conn }

func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	// Socket deadlines are on the operating system's clock.
	if err := c.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// withoutLog keeps the library from logging on its own: failures come back as errors.
func withoutLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discardLogger{}) }

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// ignoreRequests handles requests on connections that only send.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Newer asks a peer for what it knows better.
func Newer(ctx context.Context, from string, than membership.Versions) ([]membership.Entry, error) {
	var entries []membership.Entry
	err := request(ctx, from, methodNewer, than, &entries)
	return entries, err
}

// request makes one call on a connection of its own: calls are rare, and a slow one must not delay messages.
func request(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := dial(ctx, to)
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, params, result)
}

// Handler takes the messages of other daemons. Its methods are called from many goroutines.
type Handler interface {
	// Push takes in what may be new.
	Push(news News)
	// Digest compares what a peer knows.
	Digest(d Digest)
	// Newer returns what is known better here.
	Newer(than membership.Versions) []membership.Entry
	// Store makes a call to the store for a peer that it turns away.
	Store(ctx context.Context, c StoreCall) StoreAnswer
	// Broken is told of messages that cannot be read.
	Broken(err error)
}

// Serve takes control connections until the listener is closed.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		conn := jsonrpc2.NewConn(ctx, newStream(raw), messageReceiver{handler: handler}, withoutLog())
		group.Go(func() {
			select {
			case <-conn.DisconnectNotify():
			case <-ctx.Done():
				_ = conn.Close() // it may be closed already
			}
		})
	}
}

// messageReceiver hands messages to the handler.
type messageReceiver struct{ handler Handler }

// Handle implements jsonrpc2.Handler. Messages of a connection are handled in their order.
func (r messageReceiver) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodPush:
		if news, ok := decode[News](r, request); ok {
			r.handler.Push(news)
		}
	case methodDigest:
		if d, ok := decode[Digest](r, request); ok {
			r.handler.Digest(d)
		}
	case methodNewer:
		if versions, ok := decode[membership.Versions](r, request); ok {
			r.reply(ctx, conn, request, r.handler.Newer(versions))
		}
	case methodStore:
		if c, ok := decode[StoreCall](r, request); ok {
			r.reply(ctx, conn, request, r.handler.Store(ctx, c))
		}
	default:
		r.handler.Broken(&MessageError{Part: request.Method, Cause: "unknown method"})
	}
}

func (r messageReceiver) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if err := conn.Reply(ctx, request.ID, result); err != nil {
		r.handler.Broken(&MessageError{Part: request.Method, Cause: err.Error()})
	}
}

func decode[T any](r messageReceiver, request *jsonrpc2.Request) (T, bool) {
	var value T
	if request.Params == nil {
		r.handler.Broken(&MessageError{Part: request.Method, Cause: "has no parameters"})
		return value, false
	}
	if err := json.Unmarshal(*request.Params, &value); err != nil {
		r.handler.Broken(&MessageError{Part: request.Method, Cause: err.Error()})
		return value, false
	}
	return value, true
}
