package peer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/call"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/peer"
)

// ownerFunc runs calls.
type ownerFunc func(ctx context.Context, c call.Call) call.Answer

func (f ownerFunc) Run(ctx context.Context, c call.Call) call.Answer { return f(ctx, c) }

// serveHop serves an owner and returns its address.
func serveHop(t *testing.T, owner peer.Owner, report func(error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set := class.Set{Classes: []class.Class{{Name: "c"}}}
	clock := clockwork.NewRealClock()
	server := peer.NewHopServer(peer.HopHandler(owner, func() peer.Classes { return set }, 1<<10, clock, report))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func hopCall() call.Call {
	return call.Call{
		ID: "id", Class: class.Class{Name: "c"}, Slot: 3, Key: "L-1", Method: http.MethodPost, URI: "/x",
		Body: []byte("gold"), Deadline: time.Now().Add(5 * time.Second),
	}
}

func client() *peer.HopClient { return peer.NewHopClient(1<<10, clockwork.NewRealClock()) }

func unexpected(t *testing.T) func(error) {
	return func(err error) { t.Error(err) }
}

func TestHopCarriesACallAndItsAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serveHop(t, ownerFunc(func(_ context.Context, c call.Call) call.Answer {
		g.Expect(c.Key).To(gomega.Equal(class.Key("L-1")))
		g.Expect(string(c.Body)).To(gomega.Equal("gold"))
		return call.Answer{Outcome: class.Answered, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("ok"), Host: "h"}
	}), unexpected(t))
	answer := client().Send(context.Background(), address, hopCall())
	want := call.Answer{Outcome: class.Answered, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("ok"), Host: "h"}
	g.Expect(answer).To(gomega.Equal(want))
}

func TestHopOutcomesWithoutAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	began := make(chan struct{}, 1)
	stuck := serveHop(t, ownerFunc(func(ctx context.Context, _ call.Call) call.Answer {
		began <- struct{}{}
		<-ctx.Done() // cancellation reaches the owner
		return call.Unknown(call.Interrupted)
	}), unexpected(t))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	g.Expect(client().Send(ctx, stuck, hopCall()).Outcome).To(gomega.Equal(class.Unknown), "given up after it was sent")

	// Given up before anything was sent, with time left: the call can go to the next owner.
	g.Expect(client().Send(ctx, stuck, hopCall())).To(gomega.Equal(call.NotRun(call.Unreachable)))
	late := hopCall()
	late.Deadline = time.Now().Add(-time.Second)
	g.Expect(client().Send(context.Background(), stuck, late)).To(gomega.Equal(call.NotRun(call.Late)))
}

func TestBrokenHopMessagesAreReportedAndNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	reported := make(chan error, 1)
	address := serveHop(t, ownerFunc(func(context.Context, call.Call) call.Answer {
		t.Error("ran")
		return call.Answer{}
	}), func(err error) { reported <- err })
	unknown := hopCall()
	unknown.Class.Name = "other"
	g.Expect(client().Send(context.Background(), address, unknown).Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(<-reported).To(gomega.BeAssignableToTypeOf(&peer.MessageError{}))
	large := hopCall()
	large.Body = make([]byte, 1<<11)
	g.Expect(client().Send(context.Background(), address, large).Outcome).To(gomega.Equal(class.NotRun))
	g.Expect(<-reported).To(gomega.BeAssignableToTypeOf(&peer.MessageError{}))
}
