package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// receiveWindow is the size of the receive buffer of a client's socket. The links have small windows.
	receiveWindow = 8 << 10
	// answerKB is the size of an answer: the largest ones of the site have 30,000 bytes.
	answerKB = 29
	// Each of the clients opens a connection, sends requestsPerConn requests on it, one each sendInterval, whether or not
	// the earlier ones have been answered, and reads all answers.
	pipeliningClients = 6
	requestsPerConn   = 3
	sendInterval      = 15 * time.Millisecond
)

// tally counts the requests of the pipelining clients.
type tally struct {
	mu                        sync.Mutex
	complete, unread, refused int
}

// pipeline sends safe requests on one connection and reads the answers at once.
func (w *world) pipeline(h *host, c *tally) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveWindow)
		})
	}}
	conn, err := dialer.Dial("tcp", h.address(outboundPort))
	if err != nil {
		return
	}
	defer conn.Close()
	sent := make(chan string, requestsPerConn)
	ended := make(chan struct{})
	go func() {
		defer close(sent)
		for range requestsPerConn {
			id := fmt.Sprintf("r%06d", w.nextID.Add(1))
			target := fmt.Sprintf("/proof/x?ms=60&kb=%d", answerKB)
			w.mu.Lock()
			w.targets[id] = target
			w.mu.Unlock()
			sent <- id
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 800\r\n\r\n",
				target, id)
			if err != nil {
				return
			}
			select {
			case <-time.After(sendInterval):
			case <-ended:
				return
			}
		}
	}()
	defer close(ended)
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	isLast := false
	for id := range sent {
		w.mu.Lock()
		ran := len(w.runs[id]) > 0
		w.mu.Unlock()
		if isLast {
			if ran {
				w.log("%s ran behind the answer that closes the connection", id)
			}
			c.add(&c.unread)
			continue
		}
		response, err := http.ReadResponse(reader, nil)
		w.mu.Lock()
		ran = len(w.runs[id]) > 0
		w.mu.Unlock()
		if err != nil {
			if ran {
				w.breaks("%s was passed on to a backend, and its connection to %s ends without an answer: %v", id, h.name, err)
			}
			isLast = true
			continue
		}
		n, err := io.Copy(io.Discard, response.Body)
		w.log("%s by %s: %d, %d of %d bytes, closes the connection %t", id, h.name, response.StatusCode, n,
			response.ContentLength, response.Close)
		switch {
		case err != nil && ran:
			w.breaks("%s was passed on to a backend and ran, and its connection to %s is reset after %d of %d bytes", id,
				h.name, n, response.ContentLength)
			isLast = true
		case response.StatusCode == http.StatusOK:
			c.add(&c.complete)
		default:
			c.add(&c.refused)
		}
		isLast = isLast || response.Close || err != nil
	}
}

func (c *tally) add(count *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*count++
}

// playLost: a daemon gets SIGTERM while clients pipeline safe requests to it.
func playLost(w *world, trouble trouble) error {
	w.configure(1, map[string]bool{"workshop": false}, []route{
		{name: "proof", prefix: "/proof/", kind: "safe", service: "workshop", timeout: 800, target: 200, attempts: 2},
	})
	for i := range 4 {
		if _, err := w.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), "workshop", false); err != nil {
			return err
		}
	}
	if err := w.awaitStart(false); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stopped := w.hosts[0]
	var c tally
	var group sync.WaitGroup
	stop := make(chan struct{})
	var misses atomic.Int32
	go func() {
		// The platform asks once a second. After two misses in a row the clients of the host get no new work.
		for range time.Tick(time.Second) {
			if w.isReady(stopped) {
				misses.Store(0)
			} else if misses.Add(1) == 2 {
				w.log("%s is not ready for the second time: its clients get no new work", stopped.name)
			}
		}
	}()
	for range pipeliningClients {
		group.Go(func() {
			for misses.Load() < 2 {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				w.pipeline(stopped, &c)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble != noTrouble {
		_ = stopped.daemon.Process.Signal(syscall.SIGTERM)
		w.log("daemon of %s gets SIGTERM", stopped.name)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	w.log("%d answers are complete, %d requests were behind an answer that closes the connection, %d were refused",
		c.complete, c.unread, c.refused)
	return nil
}

var padding = strings.Repeat("x", 1024)
