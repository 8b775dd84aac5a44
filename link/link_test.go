package link_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/link"
)

// peer is the other side: it reads requests and answers each with raw bytes. An empty answer closes the connection.
func peer(t *testing.T, answers ...string) (address string, accepted func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan int, 1)
	conns <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- 1 + <-conns
			go answer(conn, &answers)
		}
	}()
	return listener.Addr().String(), func() int {
		n := <-conns
		conns <- n
		return n
	}
}

func answer(conn net.Conn, answers *[]string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil || len(*answers) == 0 {
			return
		}
		next := (*answers)[0]
		*answers = (*answers)[1:]
		if next == "" {
			return
		}
		if _, err := conn.Write([]byte(next)); err != nil {
			return
		}
		if next[len(next)-1] == '$' {
			return // an answer that ends with its connection
		}
	}
}

func pool(address string) *link.Pool {
	return link.NewPool(address, link.Options{
		DialTimeout:    time.Second,
		SilenceTimeout: time.Second,
		IdleTimeout:    time.Minute,
		MaxIdle:        2,
		MaxBody:        1000,
	}, clockwork.NewRealClock())
}

func get(p *link.Pool, id string) (*link.Response, error) {
	request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
	if err != nil {
		return nil, err
	}
	return p.Do(context.Background(), request, func(r *http.Response) bool { return r.Header.Get("Id") == id })
}

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		body   string
		isLost bool
	}{
		"whole":                {answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"in chunks":            {answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		"ends with connection": {answer: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok$", body: "ok$"},
		"after interim":        {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"cut short":            {answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok$", isLost: true},
		"cut in a chunk":       {answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok$", isLost: true},
		"not an answer":        {answer: "GET / HTTP/1.1$", isLost: true},
		"no answer":            {answer: "", isLost: true},
		"too large":            {answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5000\r\n\r\n$", isLost: true},
		"another's first": {
			answer: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno" + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
			body:   "ok",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, _ := peer(t, c.answer)
			response, err := get(pool(address), "1")
			if c.isLost {
				var lost *link.LostError
				g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(response.Body)).To(gomega.Equal(c.body))
		})
	}
}

const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"

func TestConnectionsAreUsedAgainOnlyWhenClean(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		conns int
	}{
		"clean":           {first: ok, conns: 1},
		"surplus":         {first: ok + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", conns: 2},
		"told to close":   {first: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", conns: 2},
		"about to expire": {first: "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, accepted := peer(t, c.first, ok)
			p := pool(address)
			defer p.Close()
			for range 2 {
				_, err := get(p, "1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(accepted()).To(gomega.Equal(c.conns))
		})
	}
}

func TestNothingIsSentTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := peer(t, ok, "", ok)
	p := pool(address)
	_, err := get(p, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = get(p, "1")
	var lost *link.LostError
	g.Expect(errors.As(err, &lost)).To(gomega.BeTrue(), "a kept connection that breaks is not replaced for the same request")
	g.Expect(accepted()).To(gomega.Equal(1))
}

func TestUnsent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = get(pool(address), "1")
	var unsent *link.UnsentError
	g.Expect(errors.As(err, &unsent)).To(gomega.BeTrue())
}

func TestAWarmConnectionServesTheFirstRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := peer(t, ok)
	p := pool(address)
	g.Expect(p.Warm(context.Background())).To(gomega.Succeed())
	g.Expect(p.Warm(context.Background())).To(gomega.Succeed())
	g.Eventually(accepted).Should(gomega.Equal(1))
	_, err := get(p, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(accepted()).To(gomega.Equal(1))
}

// TestSpareConnectionsAreKeptForAShortTime makes two connections at once and waits until the spare one is too old.
func TestSpareConnectionsAreKeptForAShortTime(t *testing.T) {
	g := gomega.NewWithT(t)
	address, accepted := peer(t, ok, ok, ok, ok, ok, ok)
	clock := clockwork.NewFakeClock()
	p := link.NewPool(address, link.Options{
		DialTimeout: time.Second, SilenceTimeout: time.Second, IdleTimeout: time.Minute, SpareTimeout: time.Second,
		MaxIdle: 9, MaxBody: 1000,
	}, clock)
	both := func() {
		// The second request begins while the first one is judged, so each has a connection.
		request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = p.Do(context.Background(), request, func(*http.Response) bool {
			_, err := get(p, "1")
			return err == nil
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	both()
	g.Expect(accepted()).To(gomega.Equal(2))
	both()
	g.Expect(accepted()).To(gomega.Equal(2), "both are used again")
	clock.Advance(2 * time.Second)
	both()
	g.Expect(accepted()).To(gomega.Equal(3), "the first one is used again, the spare one was too old")
}
