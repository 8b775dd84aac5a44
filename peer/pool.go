package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

const (
	// queueLength bounds the messages that wait for one peer. More are dropped: the protocol repeats itself.
	queueLength = 128
	// dialTimeout bounds the making of a control connection.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout bounds the sending of one message.
	writeTimeout = 500 * time.Millisecond
	// idleTimeout ends a sender that had nothing to send.
	idleTimeout = 30 * time.Second
)

// DialError reports a peer that could not be reached.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("peer %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// outgoing is one notification on its way.
type outgoing struct {
	method string
	params any
}

// sender owns the connection to one peer.
type sender struct {
	queue chan outgoing
}

// Pool sends control messages. Each peer has one connection, and one goroutine that owns it.
type Pool struct {
	from string
	sent metrics.Counter
	lost metrics.Counter
	ctx  context.Context

	mu      sync.Mutex
	senders map[string]*sender
	group   sync.WaitGroup
}

// NewPool returns a pool that names the given address as the sender's. It ends with the context.
func NewPool(ctx context.Context, from string, registry metrics.Registry) *Pool {
	return &Pool{
		from:    from,
		ctx:     ctx,
		sent:    metrics.GetOrRegisterCounter("peer.bytes_sent", registry),
		lost:    metrics.GetOrRegisterCounter("peer.messages_lost", registry),
		senders: map[string]*sender{},
	}
}

// Wait returns when all senders have ended, after the context has.
func (p *Pool) Wait() { p.group.Wait() }

// Message sends a message about ownership. It does not wait.
func (p *Pool) Message(to string, config class.Revision, at timeline.Stamp, m ownership.Message) {
	body, err := json.Marshal(m)
	if err != nil {
		panic(err) // messages hold nothing that JSON refuses
	}
	e := Envelope{From: p.from, Config: config, Body: body}
	method := methodOf(m)
	if method != methodVouch && method != methodVouched {
		e.At = &at
	}
	p.notify(to, method, e)
}

// Advert tells a peer about a version of a value.
func (p *Pool) Advert(to, key string, revision platform.Revision) {
	p.notify(to, methodAdvert, Advert{From: p.from, Key: key, Revision: revision})
}

// Push sends a value to a peer.
func (p *Pool) Push(to string, e platform.Entry) { p.notify(to, methodPush, e) }

// Digest tells a peer the sum of all known versions.
func (p *Pool) Digest(to string, digest gossip.Digest) {
	p.notify(to, methodDigest, DigestNote{From: p.from, Digest: digest})
}

// notify queues a notification; a full queue drops it.
func (p *Pool) notify(to, method string, params any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	s := p.senders[to]
	if s == nil {
		s = &sender{queue: make(chan outgoing, queueLength)}
		p.senders[to] = s
		p.group.Go(func() { p.run(to, s) })
	}
	select {
	case s.queue <- outgoing{method: method, params: params}:
	default:
		p.lost.Inc(1)
	}
}

// run sends the messages of one peer until there has been nothing to send for a while.
func (p *Pool) run(to string, s *sender) {
	var conn *jsonrpc2.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close() // it may be closed already
		}
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			if p.retire(to, s) {
				return
			}
			idle.Reset(idleTimeout)
		case out := <-s.queue:
			idle.Reset(idleTimeout)
			conn = p.send(conn, to, out)
		}
	}
}

// retire takes an idle sender out, unless a message has come meanwhile.
func (p *Pool) retire(to string, s *sender) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(p.senders, to)
	return true
}

// send sends one message, on a new connection if need be. It returns the connection to go on with, or nil.
func (p *Pool) send(conn *jsonrpc2.Conn, to string, out outgoing) *jsonrpc2.Conn {
	if conn == nil {
		fresh, err := p.dial(to)
		if err != nil {
			p.lost.Inc(1)
			return nil
		}
		conn = fresh
	}
	ctx, cancel := context.WithTimeout(p.ctx, writeTimeout)
	defer cancel()
	if err := conn.Notify(ctx, out.method, out.params); err != nil {
		_ = conn.Close() // it is broken
		p.lost.Inc(1)
		return nil
	}
	return conn
}

func (p *Pool) dial(to string) (*jsonrpc2.Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", to)
	if err != nil {
		return nil, &DialError{Address: to, Cause: err}
	}
	packed, err := newPackedConn(&countedConn{Conn: &deadlineConn{raw}, written: p.sent})
	if err != nil {
		return nil, &DialError{Address: to, Cause: err}
	}
	ignore := func(error) {} // an answer that cannot be read is a call that failed
	stream := jsonrpc2.NewBufferedStream(packed, boundedCodec{report: ignore})
	return jsonrpc2.NewConn(p.ctx, stream, nobody{}, quiet()), nil
}

// deadlineConn bounds each write, so that a frozen peer cannot hold its sender up for good.
type deadlineConn struct{ net.Conn }

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// nobody handles requests on connections that only send.
type nobody struct{}

func (nobody) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Fetch asks a peer for a value.
func (p *Pool) Fetch(ctx context.Context, from, key string) (platform.Entry, error) {
	var e platform.Entry
	err := p.ask(ctx, from, methodFetch, fetchRequest{Key: key}, &e)
	return e, err
}

// Versions asks a peer for the versions that it knows.
func (p *Pool) Versions(ctx context.Context, from string) (gossip.Versions, error) {
	var versions gossip.Versions
	err := p.ask(ctx, from, methodVersions, struct{}{}, &versions)
	return versions, err
}

// ask makes one call on a connection of its own: calls are rare, and a slow one must not delay messages.
func (p *Pool) ask(ctx context.Context, to, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, err := p.dial(to)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.Call(ctx, method, params, result); err != nil {
		return &DialError{Address: to, Cause: err}
	}
	return nil
}
