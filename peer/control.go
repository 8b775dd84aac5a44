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
	"github.com/skylarkrelay/skylarkrelay/quarantine"
)

// These are the JSON-RPC methods between daemons.
const (
	methodPush   = "push"
	methodDigest = "digest"
	methodNewer  = "newer"
	methodStore  = "store"
	// methodReports requests the reports about requests that were running when backend servers crashed.
	methodReports = "reports"
)

const (
	// sendQueueCapacity limits the messages queued for one peer. Further messages are dropped, because anti-entropy by
	// digests repairs the loss.
	sendQueueCapacity = 64
	// controlDialTimeout limits the time to open a control connection.
	controlDialTimeout = 250 * time.Millisecond
	// controlAckTimeout is the time after which a control connection is closed if sent data is not acknowledged.
	controlAckTimeout = 600 * time.Millisecond
	// requestTimeout limits the time of a request to a peer, and of each write to a control connection.
	requestTimeout = 800 * time.Millisecond
	// senderIdleTimeout is the time without messages after which a peer's sender ends and closes its connection.
	senderIdleTimeout = 15 * time.Second
)

// Digest summarizes the state that a daemon knows, so that the receiver can detect and fetch missing updates.
type Digest struct {
	// From is the control address of the sender.
	From   string            `json:"from"`
	Digest membership.Digest `json:"digest"`
	// Config is the version of the configuration. It is sent apart because a configuration has to be in force on all
	// daemons in time.
	Config membership.Version `json:"config"`
	// Evacuations is the digest of the evacuations of failure domains. It is sent apart for the same reason.
	Evacuations membership.Digest `json:"evacuations,omitempty"`
	// Reports is the digest of the reports about requests that were running when backend servers crashed.
	Reports uint64 `json:"reports,omitempty"`
}

// Update is a gossip message with state that may be new to the receiver.
type Update struct {
	// From is the control address of the sender.
	From string `json:"from"`
	// Entries holds complete values of the store.
	Entries []membership.Entry `json:"entries,omitempty"`
	// Changes holds the differences between versions of ownership records.
	Changes []ownership.Delta `json:"changes,omitempty"`
	// Announcements holds the announcements of daemons about their backend servers. Packed holds further ones, encoded
	// by membership.PackAnnouncements.
	Announcements []membership.Announcement `json:"announcements,omitempty"`
	Packed        []byte                    `json:"packed,omitempty"`
	// Reports holds reports about requests that were running when backend servers crashed.
	Reports []quarantine.Report `json:"reports,omitempty"`
	// Handover notifies the receiver that a host is about to hand keys over to it.
	Handover *HandoverNotice `json:"promise,omitempty"`
	// Beacon confirms the configuration. Only daemons of the sender's failure domain get it.
	Beacon *Beacon `json:"beacon,omitempty"`
	// Forward asks the receiver to forward the update to the other daemons of its failure domain.
	Forward bool `json:"relay,omitempty"`
	// Relay holds failure domains that the sender cannot reach. The receiver sends the update to one daemon of each.
	Relay []ownership.FailureDomain `json:"pass_on_to,omitempty"`
}

// Beacon is the periodic confirmation of a daemon that watches the store for its failure domain.
type Beacon struct {
	// Config is the version of the newest configuration in the store.
	Config membership.Version `json:"config"`
	// IsFailing reports that the store does not answer the sender, which therefore confirms nothing.
	IsFailing bool `json:"failing,omitempty"`
	// Evacuations confirms the evacuations of failure domains. It is nil in the beacons of daemons that do not know of them.
	Evacuations *EvacuationBeacon `json:"evacuations,omitempty"`
}

// EvacuationBeacon states which evacuations were in the store some time ago.
type EvacuationBeacon struct {
	Digest membership.Digest `json:"digest"`
	AgeMS  int64             `json:"age_ms"`
}

// HandoverNotice announces that a host will hand keys over to the receiver.
type HandoverNotice struct {
	// Source is the host that hands the keys over.
	Source ownership.HostID `json:"giver"`
	// DelayMS is the approximate time until the handover in milliseconds.
	DelayMS int64 `json:"in_ms"`
}

// notification is one queued JSON-RPC notification.
type notification struct {
	method string
	params any
}

// Notifier sends notifications to peers. Each peer has a queue and one goroutine, its sender, which owns the
// connection.
type Notifier struct {
	from         string
	lostMessages metrics.Counter
	sentMessages metrics.Counter
	ctx          context.Context
	onDial       func(address string, err error)

	mu      sync.Mutex
	queues  map[string]chan notification
	senders sync.WaitGroup
}

// NewNotifier returns a notifier that sends with the given control address as From. Its senders end with the context.
func NewNotifier(ctx context.Context, from string, registry metrics.Registry) *Notifier {
	return &Notifier{
		from:         from,
		ctx:          ctx,
		lostMessages: metrics.GetOrRegisterCounter("gossip.messages_lost", registry),
		sentMessages: metrics.GetOrRegisterCounter("gossip.messages_sent", registry),
		onDial:       func(string, error) {},
		queues:       map[string]chan notification{},
	}
}

// ObserveDials sets the observer of the connections that are opened to peers, which must not block. It must be called
// before the first message.
func (n *Notifier) ObserveDials(onDial func(address string, err error)) { n.onDial = onDial }

// Wait waits for all senders to end, which they do after the end of the context.
func (n *Notifier) Wait() { n.senders.Wait() }

// Push queues an update for the given peers. An error means that the update could not be encoded.
func (n *Notifier) Push(to []string, update Update) error {
	update.From = n.from
	// The update is encoded once for all peers.
	data, err := json.Marshal(update)
	if err != nil {
		return &MessageError{Part: methodPush, Cause: err.Error()}
	}
	for _, address := range to {
		n.notify(address, methodPush, json.RawMessage(data))
	}
	return nil
}

// SendDigest queues a digest of the state that this daemon knows for a peer.
func (n *Notifier) SendDigest(to string, digest Digest) {
	digest.From = n.from
	n.notify(to, methodDigest, digest)
}

// notify queues a notification for a peer and starts the peer's sender if there is none. It drops the notification if
// the queue is full.
func (n *Notifier) notify(to, method string, params any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	queue := n.queues[to]
	if queue == nil {
		queue = make(chan notification, sendQueueCapacity)
		n.queues[to] = queue
		n.senders.Go(func() { n.runSender(to, queue) })
	}
	select {
	case queue <- notification{method: method, params: params}:
	default:
		n.lostMessages.Inc(1)
	}
}

// runSender sends the queued messages of one peer until the queue has been empty for senderIdleTimeout.
func (n *Notifier) runSender(to string, queue chan notification) {
	var conn *jsonrpc2.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close() // it may already be closed
		}
	}()
	idleTimer := time.NewTimer(senderIdleTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-idleTimer.C:
			if n.removeIdleSender(to, queue) {
				return
			}
			idleTimer.Reset(senderIdleTimeout)
		case message := <-queue:
			idleTimer.Reset(senderIdleTimeout)
			conn = n.send(conn, to, message)
		}
	}
}

// removeIdleSender removes a peer's queue and returns true, unless a message was queued in the meantime.
func (n *Notifier) removeIdleSender(to string, queue chan notification) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(n.queues, to)
	return true
}

// send sends one message and opens a new connection if conn is nil or closed. It returns the connection for the next
// message, or nil if it failed.
func (n *Notifier) send(conn *jsonrpc2.Conn, to string, message notification) *jsonrpc2.Conn {
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
			conn = nil
		default:
		}
	}
	if conn == nil {
		newConn, err := dial(n.ctx, to)
		n.onDial(to, err)
		if err != nil {
			n.lostMessages.Inc(1)
			return nil
		}
		conn = newConn
	}
	if err := conn.Notify(n.ctx, message.method, message.params); err != nil {
		_ = conn.Close() // the connection is broken
		n.lostMessages.Inc(1)
		return nil
	}
	n.sentMessages.Inc(1)
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

// newStream returns an object stream with a time limit for each write, so that a frozen peer cannot block its sender
// forever.
func newStream(raw net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(&writeTimeoutConn{Conn: raw})
}

// writeTimeoutConn is a connection that limits the time of each write to requestTimeout.
type writeTimeoutConn struct{ net.Conn }

func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	// Socket deadlines use the operating system's clock, not the injected one.
	if err := c.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// withoutLog disables the logging of the JSON-RPC library, which also returns its failures as errors.
func withoutLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(discardLogger{}) }

// discardLogger drops all log lines.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// ignoreRequests drops requests that arrive on connections that this daemon opened. Peers send none there.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// FetchNewer requests the entries of which a peer has newer versions than the given ones.
func FetchNewer(ctx context.Context, from string, than membership.Versions) ([]membership.Entry, error) {
	var entries []membership.Entry
	err := request(ctx, from, methodNewer, than, &entries)
	return entries, err
}

// FetchReports requests all reports of a peer about requests that were running when backend servers crashed.
func FetchReports(ctx context.Context, from string) ([]quarantine.Report, error) {
	var reports []quarantine.Report
	err := request(ctx, from, methodReports, struct{}{}, &reports)
	return reports, err
}

// request makes one JSON-RPC request on a new connection. Requests are rare, and a slow one on a shared connection
// would delay notifications.
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

// Handler processes the messages of other daemons. Its methods are called concurrently.
type Handler interface {
	// Push applies an update from a peer.
	Push(update Update)
	// Digest compares a peer's digest with the local state.
	Digest(d Digest)
	// Newer returns the entries that are newer here than the given versions.
	Newer(than membership.Versions) []membership.Entry
	// Reports returns all reports about requests that were running when backend servers crashed.
	Reports() []quarantine.Report
	// Store makes a call to the store for a peer that the store rejects.
	Store(ctx context.Context, c StoreCall) StoreResult
	// ReportInvalid reports a message that could not be decoded or answered.
	ReportInvalid(err error)
}

// Serve accepts control connections and passes their messages to the handler until the listener is closed.
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
				_ = conn.Close() // it may already be closed
			}
		})
	}
}

// messageReceiver decodes messages and passes them to the handler.
type messageReceiver struct{ handler Handler }

// Handle implements jsonrpc2.Handler. Messages of one connection are handled in order.
func (r messageReceiver) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodPush:
		if update, ok := decode[Update](r, request); ok {
			r.handler.Push(update)
		}
	case methodDigest:
		if d, ok := decode[Digest](r, request); ok {
			r.handler.Digest(d)
		}
	case methodNewer:
		if versions, ok := decode[membership.Versions](r, request); ok {
			r.reply(ctx, conn, request, r.handler.Newer(versions))
		}
	case methodReports:
		r.reply(ctx, conn, request, r.handler.Reports())
	case methodStore:
		if c, ok := decode[StoreCall](r, request); ok {
			r.reply(ctx, conn, request, r.handler.Store(ctx, c))
		}
	default:
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: "unknown method"})
	}
}

// reply sends the result of a request and reports a failure to the handler.
func (r messageReceiver) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if err := conn.Reply(ctx, request.ID, result); err != nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: err.Error()})
	}
}

// decode decodes the parameters of a request. It reports a failure to the handler and returns false.
func decode[T any](r messageReceiver, request *jsonrpc2.Request) (T, bool) {
	var value T
	if request.Params == nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: "missing parameters"})
		return value, false
	}
	if err := json.Unmarshal(*request.Params, &value); err != nil {
		r.handler.ReportInvalid(&MessageError{Part: request.Method, Cause: err.Error()})
		return value, false
	}
	return value, true
}
