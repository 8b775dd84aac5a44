package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports on the IP address of each host.
const (
	appPort      = 8145
	outboundPort = 8147
	readyPort    = 8141
	controlPort  = 8144
	storePort    = 8142
	firstPort    = 7380
	lastPort     = 7395
)

// host is one machine: its daemon's process and its backend.
type host struct {
	name, zone, service, ip string
	daemon                  *exec.Cmd
	exited                  chan struct{}
	backend                 *backend
}

func (h *host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// run is one run of a request at a backend.
type run struct {
	backend *backend
	at      time.Time
}

// world is a small deployment on loopback, and what its clients and backends saw.
type world struct {
	beat    time.Duration
	dir     string
	prefix  string
	store   *kvStore
	hosts   []*host
	started time.Time
	nextID  atomic.Int64
	// nextBeat is the pause before the first heartbeat of the next backend.
	nextBeat time.Duration

	recordMu sync.Mutex
	record   *os.File

	// grants makes the application of heartbeat responses by all backends one after the other.
	grants sync.Mutex

	mu      sync.Mutex
	broken  []string
	runs    map[string][]run
	targets map[string]string
	overlap map[[2]*backend]time.Time
	// onRun is called for each run, if set.
	onRun func(b *backend, id string)
}

// newWorld starts a store on a loopback network that is not in use.
func newWorld(beat time.Duration, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		beat: beat, dir: dir, record: file, started: time.Now(), store: newStore(), runs: map[string][]run{},
		targets: map[string]string{}, overlap: map[[2]*backend]time.Time{},
	}
	for i := range 200 {
		w.prefix = fmt.Sprintf("127.%d.%d", 10+(os.Getpid()+i)%200, 1+(os.Getpid()/200)%200)
		listener, err := net.Listen("tcp", net.JoinHostPort(w.prefix+".1", strconv.Itoa(storePort)))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, w.store) }()
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

// log writes a line to the record, with the time since the start.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.started).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	count := len(w.broken)
	w.mu.Unlock()
	if count <= 40 {
		w.log("BROKEN: %s", text)
	}
}

// settings returns the settings file of a daemon, as the template of the deploy file fills it.
func (w *world) settings(h *host) string {
	return fmt.Sprintf(`host = %q
failure_domain = %q
service = %q
address = %q
seeds = []

[ports]
first = %d
last = %d

[platform]
address = %q

[caller]
listen = %q

[ready]
listen = %q

[backend]
listen = %q
address = %q
heartbeat_interval = "%dms"
drain_time = "2000ms"
hold_most = "10000ms"

[stop]
grace_time = "6s"

[retries]
share = 0.2
slack = 64
window = "10s"

[limits]
memory_mb = 284
`, h.name, h.zone, h.service, h.ip, firstPort, lastPort, w.prefix+".1:"+strconv.Itoa(storePort), h.address(outboundPort),
		h.address(readyPort), h.address(controlPort), h.address(appPort), w.beat.Milliseconds())
}

// addHost adds a host with its backend and its daemon.
func (w *world) addHost(name, zone, service string, sharded bool) (*host, error) {
	h := &host{name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", w.prefix, 10+len(w.hosts))}
	w.hosts = append(w.hosts, h)
	w.nextBeat += 400 * time.Millisecond // the backends send their heartbeats at different times
	if err := w.startBackend(h, sharded, time.Now()); err != nil {
		return nil, err
	}
	return h, w.startDaemon(h)
}

// startBackend starts a new backend on a host. Its clock shows the given time.
func (w *world) startBackend(h *host, sharded bool, born time.Time) error {
	h.backend = &backend{
		world: w, host: h, id: fmt.Sprintf("i-%s-%d", h.name, w.nextID.Add(1)), born: born.UnixMilli(), sharded: sharded,
		firstBeat: w.nextBeat % w.beat,
	}
	return h.backend.start()
}

// startDaemon starts the daemon of a host with the command of the deploy file.
func (w *world) startDaemon(h *host) error {
	path := filepath.Join(w.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(h)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := strings.Fields(os.Getenv("DAEMON"))
	h.daemon = exec.Command(command[0], command[1:]...)
	h.daemon.Env = []string{"PATH=" + os.Getenv("PATH"), "SKYLARKRELAY_SETTINGS=" + path}
	h.daemon.Stdout, h.daemon.Stderr = output, output
	h.daemon.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.daemon.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	process, exited := h.daemon, h.exited
	go func() {
		_ = process.Wait()
		_ = output.Close()
		close(exited)
	}()
	w.log("daemon of %s starts", h.name)
	return nil
}

// killDaemon kills the daemon of a host and waits for its end.
func (w *world) killDaemon(h *host) {
	_ = h.daemon.Process.Kill()
	<-h.exited
	w.log("daemon of %s is killed", h.name)
}

// isReady asks a daemon whether it is ready.
func (w *world) isReady(h *host) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.address(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target, attempts   int
}

// configure writes a version of the configuration.
func (w *world) configure(version int, services map[string]bool, routes []route) {
	list, names := []any{}, []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": "shop.example", "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout, "target_latency_ms": r.target, "priority": 1, "attempts": r.attempts,
		})
	}
	for name, sharded := range services {
		names = append(names, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 65, "sharded": sharded,
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": names,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	})
	w.store.write("op/config", data)
	w.log("configuration %d is acknowledged", version)
}

// answer is what a client got. A status of zero means that the connection ended without an answer.
type answer struct {
	status int
	signed bool
	text   string
}

// send sends one request of a client to the daemon of a host, on a new connection.
func (w *world) send(h *host, method, target string, key, deadlineMS int) answer {
	id := fmt.Sprintf("r%06d", w.nextID.Add(1))
	return w.sendAs(id, h, method, target, key, deadlineMS)
}

func (w *world) sendAs(id string, h *host, method, target string, key, deadlineMS int) answer {
	w.mu.Lock()
	w.targets[id] = target
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadlineMS+500)*time.Millisecond)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", h.address(outboundPort))
	if err != nil {
		w.log("%s %s %s by %s: %v", id, method, target, h.name, err)
		return answer{}
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		method, target, id, deadlineMS)
	if key >= 0 {
		head += fmt.Sprintf("X-Shard-Key: %d\r\n", key)
	}
	if method != http.MethodGet {
		head += "Content-Length: 0\r\n"
	}
	head += "Connection: close\r\n\r\n"
	sent := time.Now()
	if _, err := io.WriteString(conn, head); err != nil {
		return answer{}
	}
	got := readAnswer(conn)
	w.log("%s %s %s key %d by %s: %d signed %t after %d ms", id, method, target, key, h.name, got.status, got.signed,
		time.Since(sent).Milliseconds())
	return got
}

func readAnswer(conn net.Conn) answer {
	data, _ := io.ReadAll(conn)
	head, body, ok := strings.Cut(string(data), "\r\n\r\n")
	fields := strings.Fields(head)
	if !ok || len(fields) < 2 {
		return answer{}
	}
	status, _ := strconv.Atoi(fields[1])
	return answer{status: status, signed: strings.Contains(strings.ToLower(head), "x-response-signature:"), text: body}
}

// ran records that a backend begins to run a request.
func (w *world) ran(b *backend, id, method, target string, key, body int) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], run{backend: b, at: time.Now()})
	onRun, sent := w.onRun, w.targets[id]
	w.mu.Unlock()
	w.log("run of %s at %s: %s %s key %d, %d bytes", id, b.id, method, target, key, body)
	if target != sent {
		w.breaks("%s is sent with path and query %s and runs with %s", id, sent, target)
	}
	if onRun != nil {
		onRun(b, id)
	}
}

// checkTaken checks keys that a backend has just taken against the backends that are up. The caller holds w.grants and
// the lock of the backend.
func (w *world) checkTaken(b *backend, taken []int, now time.Time) {
	for _, h := range w.hosts {
		other := h.backend
		if other == nil || other == b {
			continue
		}
		other.mu.Lock()
		held, working := 0, 0
		for _, key := range taken {
			if other.isUp && other.holds[key].until.After(now) {
				held++
				if other.working[key] > 0 {
					working++
				}
			}
		}
		other.mu.Unlock()
		if held > 0 {
			w.log("%d of these keys are still held by %s, which is up; it is at work on %d of them", held, other.id, working)
		}
		if working > 0 {
			w.breaks("%s is given %d keys on which %s is still at work within its hold", b.id, working, other.id)
		}
	}
}

// watchOverlaps checks until the context ends how long two backends that are up hold the same keys.
func (w *world) watchOverlaps(ctx context.Context, limit time.Duration) {
	for range time.Tick(20 * time.Millisecond) {
		if ctx.Err() != nil {
			return
		}
		w.grants.Lock()
		now := time.Now()
		owners, pairs := map[int]*backend{}, map[[2]*backend]int{}
		for _, h := range w.hosts {
			b := h.backend
			b.mu.Lock()
			for key, held := range b.holds {
				if !b.isUp || !held.until.After(now) {
					continue
				}
				if other := owners[key]; other != nil {
					pairs[[2]*backend{other, b}]++
				}
				owners[key] = b
			}
			b.mu.Unlock()
		}
		w.grants.Unlock()
		for pair, keys := range pairs {
			since, known := w.overlap[pair]
			if !known {
				w.overlap[pair] = now
				continue
			}
			if !since.IsZero() && now.Sub(since) > limit {
				w.overlap[pair] = time.Time{}
				w.breaks("%s and %s are up and hold the same %d keys for over %d ms", pair[0].id, pair[1].id, keys,
					limit.Milliseconds())
			}
		}
		for pair := range w.overlap {
			if pairs[pair] == 0 {
				delete(w.overlap, pair)
			}
		}
	}
}

// stop ends all processes.
func (w *world) stop() {
	for _, h := range w.hosts {
		if h.daemon != nil && h.daemon.Process != nil {
			_ = h.daemon.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	w.log("all processes ended")
	_ = w.record.Close()
}

// await waits until the condition holds, for the given time at most, and reports whether it does.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
