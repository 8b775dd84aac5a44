package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkrelay/skylarkrelay/gossip"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/timeline"
)

// recorder takes in messages and broken ones.
type recorder struct {
	Handler
	messages chan ownership.Message
	broken   chan error
}

func (r recorder) Message(e Envelope)              { r.messages <- e.Message }
func (r recorder) Broken(err error)                { r.broken <- err }
func (r recorder) Fetch(key string) platform.Entry { return platform.Entry{Key: key, Revision: 7} }
func (r recorder) Versions() gossip.Versions       { return gossip.Versions{"config": 7} }

// serveControl starts a server and returns its address.
func serveControl(t *testing.T) (string, recorder) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := recorder{messages: make(chan ownership.Message, 8), broken: make(chan error, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- NewServer(listener, r, metrics.NewRegistry()).Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String(), r
}

func TestControlMessagesArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	address, r := serveControl(t)
	ctx, cancel := context.WithCancel(context.Background())
	pool := NewPool(ctx, "here", metrics.NewRegistry())
	member := ownership.Ref{Host: "a", Incarnation: 3}
	for _, m := range []ownership.Message{
		ownership.VouchRequest{Service: "s", Member: member, Generation: 4, Sequence: 5, Probe: true},
		ownership.VouchReply{Member: member, Sequence: 5, Granted: true},
		ownership.SealRequest{Member: member, Generation: 4},
		ownership.SealReply{Member: member, Remaining: 9},
		ownership.SilenceNotice{Service: "s", Member: member},
		ownership.LoadNote{Member: member, Load: 1.5},
	} {
		pool.Message(address, 1, timeline.Stamp{}, m)
		g.Expect(<-r.messages).To(gomega.Equal(m))
	}
	entry, err := pool.Fetch(ctx, address, "config")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry.Revision).To(gomega.BeNumerically("==", 7))
	versions, err := pool.Versions(ctx, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(versions).To(gomega.HaveLen(1))
	cancel()
	pool.Wait()
}

func TestBrokenControlMessagesAreReported(t *testing.T) {
	frame := func(text string) []byte {
		return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
	}
	for name, data := range map[string][]byte{
		"not JSON":         frame("hello"),
		"unknown method":   frame(`{"jsonrpc":"2.0","method":"fly","params":{}}`),
		"no parameters":    frame(`{"jsonrpc":"2.0","method":"vouch"}`),
		"wrong parameters": frame(`{"jsonrpc":"2.0","method":"vouch","params":{"b":7}}`),
		"over the limit":   binary.AppendUvarint(nil, maxFrame+1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, r := serveControl(t)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			packed, err := newPackedConn(conn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = packed.Write(data)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(<-r.broken).To(gomega.BeAssignableToTypeOf(&MessageError{}))
		})
	}
	t.Run("not compressed", func(t *testing.T) {
		g := gomega.NewWithT(t)
		address, r := serveControl(t)
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-r.broken).To(gomega.BeAssignableToTypeOf(&MessageError{}))
	})
}
