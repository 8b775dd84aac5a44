package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are on the address of each host, and storePort on that of the store.
const (
	outboundPort = 8147
	readyPort    = 8141
	controlPort  = 8144
	appPort      = 8145
	storePort    = 8142
	firstPort    = 7380
	lastPort     = 7395
	// beatInterval is the one that the bench's example of the settings shows for this site.
	beatInterval = 1500 * time.Millisecond
)

// world is a small deployment on loopback addresses.
type world struct {
	dir    string
	prefix string
	start  time.Time
	store  *kvStore
	hosts  []*host

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, start: time.Now(), record: f, store: newStore()}
	for n := range 200 {
		w.prefix = fmt.Sprintf("127.%d", 20+(os.Getpid()+n)%200)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.200.1:%d", w.prefix, storePort))
		if err == nil {
			go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
			return w, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the deployment.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// host is a machine with a daemon and a backend.
type host struct {
	w       *world
	name    string
	zone    string
	service string
	ip      string
	keyed   bool

	mu      sync.Mutex
	daemon  *exec.Cmd
	exited  chan struct{}
	backend *backend
	lives   int
}

func (w *world) addHost(zone, service string, keyed bool) *host {
	n := len(w.hosts) + 1
	h := &host{
		w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, keyed: keyed,
		ip: fmt.Sprintf("%s.1.%d", w.prefix, n),
	}
	w.hosts = append(w.hosts, h)
	return h
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// settings is what the template in deploy/ gives for this host.
func (h *host) settings() string {
	var seeds []string
	for i, other := range h.w.hosts {
		if i < 3 {
			seeds = append(seeds, strconv.Quote(other.addr(controlPort)))
		}
	}
	return fmt.Sprintf(`host = %q
failure_domain = %q
service = %q
address = %q
seeds = [%s]

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

[warmup]

[evacuation]

[limits]
memory_mb = 284
link_mbps = 1000.0
`, h.name, h.zone, h.service, h.ip, strings.Join(seeds, ", "), firstPort, lastPort,
		fmt.Sprintf("%s.200.1:%d", h.w.prefix, storePort), h.addr(outboundPort), h.addr(readyPort), h.addr(controlPort),
		h.addr(appPort), beatInterval.Milliseconds())
}

// startDaemon starts the daemon with the command of the deploy file.
func (h *host) startDaemon() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	path := filepath.Join(h.w.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/skylarkrelay", "run")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKRELAY_SETTINGS=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	h.daemon, h.exited = cmd, exited
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon != nil {
		_ = h.daemon.Process.Signal(s)
	}
}

// kill kills the daemon and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.daemon, h.exited
	h.daemon = nil
	h.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// ready reports whether the daemon answers the platform's question with 200.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.addr(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// memoryKB returns the resident memory of the daemon.
func (h *host) memoryKB() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.daemon == nil {
		return 0
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.daemon.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := h.startDaemon(); err != nil {
			return err
		}
		h.startBackend()
	}
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		isReady := true
		for _, h := range w.hosts {
			isReady = isReady && h.ready()
		}
		if isReady {
			time.Sleep(5 * time.Second) // keys are dealt, and backends get warm
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons did not become ready")
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service  string
	target, timeout, pri, atmpts int
}

func (w *world) putConfig(version int, routes []route, keyed map[string]bool) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": "shop.example", "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeout, "target_latency_ms": r.target, "priority": r.pri, "attempts": r.atmpts,
		})
	}
	for s, k := range keyed {
		ss = append(ss, map[string]any{"name": s, "health_path": "/health", "max_connections": 65, "sharded": k})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	w.store.operatorPut("op/config", data)
}

// sleepUntil waits until a number of seconds after a time.
func sleepUntil(from time.Time, s float64) {
	time.Sleep(time.Until(from.Add(time.Duration(s * float64(time.Second)))))
}
