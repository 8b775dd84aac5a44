package soak_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/soak"
)

// startEchoServer starts a TCP server that sends back all bytes it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startProxy starts a proxy in front of an echo server and returns it with its address.
func startProxy(t *testing.T) (*soak.Proxy, string) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	p, err := soak.NewProxy(address, startEchoServer(t), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, address
}

// echoByte sends one byte and waits for its echo.
func echoByte(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxyImpairments(t *testing.T) {
	g := gomega.NewWithT(t)
	p, address := startProxy(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(echoByte(conn, time.Second)).To(gomega.Succeed())
	for _, stalled := range []soak.Impairment{{StallToTarget: true}, {StallFromTarget: true}} {
		p.SetImpairment(stalled)
		g.Expect(errors.Is(echoByte(conn, 100*time.Millisecond), os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		p.SetImpairment(soak.Impairment{})
		g.Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
		_, err = io.ReadFull(conn, make([]byte, 1))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "stalled data has to arrive after the impairment is cleared")
	}
	p.SetImpairment(soak.Impairment{Delay: 80 * time.Millisecond})
	start := time.Now()
	g.Expect(echoByte(conn, time.Second)).To(gomega.Succeed())
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 160*time.Millisecond))
	p.ResetConnections()
	g.Expect(echoByte(conn, time.Second)).NotTo(gomega.Succeed())
	p.SetImpairment(soak.Impairment{RefuseConnections: true})
	refused, err := net.Dial("tcp", address)
	if err == nil {
		g.Expect(echoByte(refused, time.Second)).NotTo(gomega.Succeed())
		_ = refused.Close()
	}
}
