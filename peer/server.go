package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/platform"
)

// Handler takes in what other daemons send. Its methods must not block for long.
type Handler interface {
	// Message takes in a message about ownership.
	Message(e Envelope)
	// Advert takes in news of a value.
	Advert(a Advert)
	// Push takes in a value.
	Push(e platform.Entry)
	// Digest takes in the sum of another daemon's versions.
	Digest(d DigestNote)
	// Fetch returns the newest known version of a value.
	Fetch(key string) platform.Entry
	// Versions returns the known versions.
	Versions() gossip.Versions
	// Broken takes note of a message that could not be read.
	Broken(err error)
}

// Server takes control connections.
type Server struct {
	listener net.Listener
	handler  Handler
	received metrics.Counter

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

// NewServer returns a server on a listener. Received bytes are counted in the registry.
func NewServer(listener net.Listener, handler Handler, registry metrics.Registry) *Server {
	return &Server{
		listener: listener,
		handler:  handler,
		received: metrics.GetOrRegisterCounter("peer.bytes_received", registry),
		conns:    map[*jsonrpc2.Conn]bool{},
	}
}

// Serve takes connections until the context or the listener ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &ListenError{Cause: err}
		}
		packed, err := newPackedConn(&countedConn{Conn: conn, read: s.received})
		if err != nil {
			return &ListenError{Cause: err}
		}
		stream := jsonrpc2.NewBufferedStream(packed, boundedCodec{report: s.handler.Broken})
		s.add(jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed(), quiet()))
	}
}

// quiet keeps the library from writing to standard error by itself: what is broken is reported.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

// ListenError reports a listener that broke.
type ListenError struct{ Cause error }

func (e *ListenError) Error() string { return "peer listener: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func (s *Server) add(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // it may be closed already
	}
}

// handle serves one message. A broken one is reported and answered with an error; the connection goes on.
func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	result, err := s.dispatch(r)
	if err != nil {
		s.handler.Broken(err)
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	}
	return result, nil
}

func (s *Server) dispatch(r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &MessageError{Method: r.Method, Reason: "no parameters"}
	}
	params := *r.Params
	switch r.Method {
	case methodAdvert:
		return nil, take(r.Method, params, s.handler.Advert)
	case methodPush:
		return nil, take(r.Method, params, s.handler.Push)
	case methodDigest:
		return nil, take(r.Method, params, s.handler.Digest)
	case methodFetch:
		var request fetchRequest
		err := take(r.Method, params, func(f fetchRequest) { request = f })
		return s.handler.Fetch(request.Key), err
	case methodVersions:
		return s.handler.Versions(), nil
	default:
		return nil, s.envelope(r.Method, params)
	}
}

func (s *Server) envelope(method string, params json.RawMessage) error {
	var e Envelope
	if err := json.Unmarshal(params, &e); err != nil {
		return &MessageError{Method: method, Reason: err.Error()}
	}
	message, err := decodeMessage(method, e.Body)
	if err != nil {
		return err
	}
	e.Message = message
	s.handler.Message(e)
	return nil
}

// take decodes parameters and hands them on.
func take[P any](method string, params json.RawMessage, use func(P)) error {
	var p P
	if err := json.Unmarshal(params, &p); err != nil {
		return &MessageError{Method: method, Reason: err.Error()}
	}
	use(p)
	return nil
}
