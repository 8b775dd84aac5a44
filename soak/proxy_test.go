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

// echo answers all bytes with themselves.
func echo(t *testing.T) string {
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

func proxied(t *testing.T) (*soak.Proxy, string) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	p, err := soak.NewProxy(address, echo(t), "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, address
}

// say sends a letter and waits for its echo.
func say(conn net.Conn, most time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(most)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxyTroubles(t *testing.T) {
	g := gomega.NewWithT(t)
	p, address := proxied(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(say(conn, time.Second)).To(gomega.Succeed())
	for _, held := range []soak.Trouble{{HoldTo: true}, {HoldFrom: true}} {
		p.Set(held)
		g.Expect(errors.Is(say(conn, 100*time.Millisecond), os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		p.Set(soak.Trouble{})
		g.Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
		_, err = io.ReadFull(conn, make([]byte, 1))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "what was held comes later")
	}
	p.Set(soak.Trouble{Delay: 80 * time.Millisecond})
	begun := time.Now()
	g.Expect(say(conn, time.Second)).To(gomega.Succeed())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically(">=", 160*time.Millisecond))
	p.Reset()
	g.Expect(say(conn, time.Second)).NotTo(gomega.Succeed())
	p.Set(soak.Trouble{Refuse: true})
	refused, err := net.Dial("tcp", address)
	if err == nil {
		g.Expect(say(refused, time.Second)).NotTo(gomega.Succeed())
		_ = refused.Close()
	}
}
