package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e000000000000+lastID.Add(1)) }

// newClient returns the clients of one host, which keep their connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
}

// send sends one client attempt to the daemon of a host and returns the status, or 0 if there was no complete answer.
func (h *host) send(c *http.Client, id, method, path string, key int, body []byte, deadline time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(outboundPort)+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, err
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key >= 0 {
		r.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	answer, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	return answer.StatusCode, nil
}
