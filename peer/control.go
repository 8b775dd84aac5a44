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
	// queueLength bounds the messages that wait for one peer. More are dropped: digests heal what is missed.
	queueLength = 64
	// controlDialTimeout bounds the making of a control connection.
	controlDialTimeout = 250 * time.Millisecond
	// controlSilence ends a control connection to a host that acknowledges nothing.
	controlSilence = 600 * time.Millisecond
	// askTimeout bounds a call to a peer.
	askTimeout = 800 * time.Millisecond
	// senderIdle ends a sender that had nothing to send.
	senderIdle = 15 * time.Second
)

// Digest is what a daemon knows, summed up, and where it can be asked for it.
type Digest struct {
	From   string            `json:"from"`
	Digest membership.Digest `json:"digest"`
	// Config is the version of the configuration, which has to be in force everywhere in time.
	Config membership.Version `json:"config"`
}

// Update is what may be new to the receiver.
type Update struct {
	From string `json:"from"`
	// Entries are whole values of the store, and Changes what changed in its records.
	Entries []membership.Entry `json:"entries,omitempty"`
	Changes []ownership.Delta  `json:"changes,omitempty"`
	// Announcements are what daemons say of their backend servers.
	Announcements []membership.Announcement `json:"announcements,omitempty"`
	// Handover says that the receiver will be given keys by a host.
	Handover *HandoverNotice `json:"promise,omitempty"`
	// Forward asks the receiver to tell the other daemons of its failure domain.
	Forward bool `json:"relay,omitempty"`
}

// HandoverNotice says that a host will give keys away in about a while.
type HandoverNotice struct {
	Source ownership.HostID `json:"giver"`
	DelayMS  int64            `json:"in_ms"`
}

// outgoing is one notification on its way.
type outgoing struct {
	method string
	params any
}

// Notifier sends control messages. Each peer has one connection, and one goroutine that owns it.
type Notifier struct {
	from string
	lost metrics.Counter
	sent metrics.Counter
	ctx  context.Context

	mu      sync.Mutex
	senders map[string]chan outgoing
	group   sync.WaitGroup
}

// NewNotifier returns a pool that names the given address as the sender's. It ends with the context.
func NewNotifier(ctx context.Context, from string, registry metrics.Registry) *Notifier {
	return &Notifier{
		from:    from,
		ctx:     ctx,
		lost:    metrics.GetOrRegisterCounter("gossip.messages_lost", registry),
		sent:    metrics.GetOrRegisterCounter("gossip.messages_sent", registry),
		senders: map[string]chan outgoing{},
	}
}

// Wait returns when all senders have ended, after the context has.
func (p *Notifier) Wait() { p.group.Wait() }

// Push sends news to peers, which pass it on in their failure domain if they are asked to relay.
func (p *Notifier) Push(to []string, news Update) error {
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

// SendDigest tells a peer the sum of all that is known here, and the version of the configuration.
func (p *Notifier) SendDigest(to string, digest membership.Digest, config membership.Version) {
	p.notify(to, methodDigest, Digest{From: p.from, Digest: digest, Config: config})
}

// notify queues a notification; a full queue drops it.
func (p *Notifier) notify(to, method string, params any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	queue := p.senders[to]
	if queue == nil {
		queue = make(chan outgoing, queueLength)
		p.senders[to] = queue
		p.group.Go(func() { p.run(to, queue) })
	}
	select {
	case queue <- outgoing{method: method, params: params}:
	default:
		p.lost.Inc(1)
	}
}

// run sends the messages of one peer until there has been nothing to send for a while.
func (p *Notifier) run(to string, queue chan outgoing) {
	var conn *jsonrpc2.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close() // it may be closed already
		}
	}()
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			if p.retire(to, queue) {
				return
			}
			idle.Reset(senderIdle)
		case out := <-queue:
			idle.Reset(senderIdle)
			conn = p.send(conn, to, out)
		}
	}
}

// retire takes an idle sender out, unless a message has come meanwhile.
func (p *Notifier) retire(to string, queue chan outgoing) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.senders, to)
	return true
}

// send sends one message, on a new connection if need be. It returns the connection to go on with, or nil.
func (p *Notifier) send(conn *jsonrpc2.Conn, to string, out outgoing) *jsonrpc2.Conn {
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
			conn = nil
		default:
		}
	}
	if conn == nil {
		fresh, err := dial(p.ctx, to)
		if err != nil {
			p.lost.Inc(1)
			return nil
		}
		conn = fresh
	}
	if err := conn.Notify(p.ctx, out.method, out.params); err != nil {
		_ = conn.Close() // it is broken
		p.lost.Inc(1)
		return nil
	}
	p.sent.Inc(1)
	return conn
}

func dial(ctx context.Context, to string) (*jsonrpc2.Conn, error) {
	dialer := link.Dialer(controlDialTimeout, controlSilence)
	raw, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	return jsonrpc2.NewConn(ctx, stream(raw), nobody{}, quiet()), nil
}

// stream bounds each write, so that a frozen peer cannot hold its sender up for good.
func stream(raw net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(&boundedConn{Conn: raw})
}

type boundedConn struct{ net.Conn }

func (c *boundedConn) Write(b []byte) (int, error) {
	// Socket deadlines are on the operating system's clock.
	if err := c.SetWriteDeadline(time.Now().Add(askTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// quiet keeps the library from logging on its own: failures come back as errors.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discard{}) }

type discard struct{}

func (discard) Printf(string, ...any) {}

// nobody handles requests on connections that only send.
type nobody struct{}

func (nobody) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// FetchNewer asks a peer for what it knows better.
func FetchNewer(ctx context.Context, from string, than membership.Versions) ([]membership.Entry, error) {
	var entries []membership.Entry
	err := ask(ctx, from, methodNewer, than, &entries)
	return entries, err
}

// ask makes one call on a connection of its own: calls are rare, and a slow one must not delay messages.
func ask(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	Push(news Update)
	// Digest compares what a peer knows.
	Digest(d Digest)
	// Newer returns what is known better here.
	Newer(than membership.Versions) []membership.Entry
	// Store makes a call to the store for a peer that it turns away.
	Store(ctx context.Context, c StoreCall) StoreResult
	// ReportInvalid is told of messages that cannot be read.
	ReportInvalid(err error)
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
		conn := jsonrpc2.NewConn(ctx, stream(raw), receiver{handler: handler}, quiet())
		group.Go(func() {
			select {
			case <-conn.DisconnectNotify():
			case <-ctx.Done():
				_ = conn.Close() // it may be closed already
			}
		})
	}
}

// receiver hands messages to the handler.
type receiver struct{ handler Handler }

// Handle implements jsonrpc2.Handler. Messages of a connection are handled in their order.
func (r receiver) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodPush:
		if news, ok := decode[Update](r, request); ok {
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
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: "unknown method"})
	}
}

func (r receiver) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if err := conn.Reply(ctx, request.ID, result); err != nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: err.Error()})
	}
}

func decode[T any](r receiver, request *jsonrpc2.Request) (T, bool) {
	var value T
	if request.Params == nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: "has no parameters"})
		return value, false
	}
	if err := json.Unmarshal(*request.Params, &value); err != nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: err.Error()})
		return value, false
	}
	return value, true
}
