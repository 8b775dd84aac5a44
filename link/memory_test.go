package link_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// stalledServer answers each request with a large part of a body that has no end, and then sends nothing more. Each
// connection is counted on the returned channel when its part was sent or the client has closed it.
func stalledServer(t *testing.T, bodyBytes int) (address string, stalled <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan struct{}, 1000)
	part := make([]byte, bodyBytes)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")) // as below
					_, _ = conn.Write(part)                                       // fails if the client gives the body up
				}
				sent <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

// TestIncompleteBodiesFitIntoMemory guards against a daemon that runs out of memory because a server in trouble sends bodies
// without end on many connections, each within the limit of one body.
func TestIncompleteBodiesFitIntoMemory(t *testing.T) {
	const (
		calls     = 64
		bodyBytes = 7 << 20
		bound     = 32 << 20
		// maxHeap is half of what the smallest hosts have.
		maxHeap = 92 << 20
	)
	g := gomega.NewWithT(t)
	address, stalled := stalledServer(t, bodyBytes)
	p := link.NewPool(address, link.Options{
		DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 2, MaxBody: 8 << 20,
	}, clockwork.NewRealClock())
	defer p.Close()
	memory := link.NewMemory(bound)
	p.LimitMemory(memory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	errs := make(chan error, calls)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
			if err == nil {
				_, err = p.Do(ctx, request, "", func(*http.Response, bool) bool { return true })
			}
			errs <- err
		})
	}
	for range calls {
		<-stalled
	}
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	g.Expect(stats.HeapAlloc).To(gomega.BeNumerically("<", maxHeap))
	cancel()
	group.Wait()
	givenUp := 0
	for range calls {
		err := <-errs
		var lost *link.LostError
		g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "the call may have run: %v", err)
		var exceeded *link.MemoryError
		if errors.As(err, &exceeded) {
			givenUp++
		}
	}
	g.Expect(givenUp).To(gomega.BeNumerically(">", 0))
	data, err := memory.ReadBody(&zeros{remaining: bound / 4}, -1)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the memory is free again")
	g.Expect(data).To(gomega.HaveLen(bound / 4))
}

// zeros is a reader of zero bytes.
type zeros struct{ remaining int }

// Read implements io.Reader.
func (z *zeros) Read(p []byte) (int, error) {
	n := min(len(p), z.remaining)
	z.remaining -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
