// Command standin3 runs the scripts of the third review: it starts the daemons of a small deployment as processes, and plays
// the platform's store, the backend servers and the clients beside them.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "workshop"
	hostName    = "ardoise.example"
	// stableWindow is stable_window_ms of the deployment.
	stableWindow = 3 * time.Second
	// longestRun is the time after which a script ends all its processes and gives up.
	longestRun = 115 * time.Second
	// descriptors is max_fds of the deployment.
	descriptors = 4100
)

// lab is one run of a script.
type lab struct {
	// logs is a temporary folder for the settings and the logs of the daemons.
	logs      string
	record    *os.File
	start     time.Time
	store     *platformStore
	storeAddr string
	config    []byte
	machines  []*machine
	firstPort int

	ending sync.Once

	mu       sync.Mutex
	runs     map[string]int
	arrivals []deadlyArrival
	crashes  []time.Time
	sentAt   map[string]sending
}

// machine is a machine with its daemon and its backend server.
type machine struct {
	lab                             *lab
	name, zone, ip                  string
	app, control, outbound, readyAt string
	server                          *backendServer

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
	isWanted  bool
	ends      int
}

// log writes one line to the record.
func (l *lab) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
}

func (l *lab) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// freePorts returns the first of a number of ports that are free on an address.
func freePorts(ip string, count int) (int, error) {
	for first := 21000 + int(time.Now().UnixNano()/1000%500)*20; first < 32000; first += 20 {
		isFree := true
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", count)
}

const (
	portsPerMachine = 12
	readyPort       = 4 // offsets from the first port
	controlPort     = 5
	outboundPort    = 6
	appPort         = 7
	storePort       = 8
)

// newLab writes the configuration to a new store and prepares the machines. Nothing of the project runs yet.
func newLab(folder string, machines int, work time.Duration, config map[string]any) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	logs, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		logs: logs, record: record, start: time.Now(), store: newStore(),
		runs: map[string]int{}, sentAt: map[string]sending{},
	}
	if l.firstPort, err = freePorts("127.0.0.1", portsPerMachine); err != nil {
		return nil, err
	}
	l.storeAddr = "127.0.0.1:" + strconv.Itoa(l.firstPort+storePort)
	listener, err := net.Listen("tcp", l.storeAddr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, l.store) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		l.log("stopped before its end")
		l.endAll()
		os.Exit(2)
	}()
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	l.config = data
	l.store.put("op/config", data)
	for i := range machines {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		at := func(offset int) string { return ip + ":" + strconv.Itoa(l.firstPort+offset) }
		m := &machine{
			lab: l, name: fmt.Sprintf("sidecar-%d", i+1), zone: fmt.Sprintf("zone-%d", i%3), ip: ip,
			app: at(appPort), control: at(controlPort), outbound: at(outboundPort), readyAt: at(readyPort),
		}
		m.server = &backendServer{lab: l, machine: m, work: work}
		l.machines = append(l.machines, m)
	}
	return l, nil
}

// settings returns the settings file of a machine's daemon: deploy/settings.toml.tmpl with the machine's fields.
func (m *machine) settings() string {
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

[warmup]

[evacuation]

[limits]
memory_mb = 284
link_mbps = 1000.0
`, m.name, m.zone, serviceName, m.ip, m.lab.firstPort, m.lab.firstPort+3, m.lab.storeAddr, m.outbound, m.readyAt, m.control,
		m.app, heartbeatInterval.Milliseconds())
}

// startDaemon starts the daemon with the command of the deploy file and the descriptors of the deployment. A daemon that ends
// by itself is started again after a short delay, as the platform does.
func (m *machine) startDaemon() error {
	path := filepath.Join(m.lab.logs, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.lab.logs, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec target/skylarkrelay run", descriptors))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.lab.logs, "SKYLARKRELAY_SETTINGS=" + path}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.startedAt, m.isWanted = command, ended, time.Now(), true
	m.mu.Unlock()
	m.lab.log("daemon of %s starts, process %d", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		close(ended)
		m.mu.Lock()
		isUnexpected := m.isWanted
		if isUnexpected {
			m.ends++
		}
		m.mu.Unlock()
		if isUnexpected {
			m.lab.log("daemon of %s ENDED BY ITSELF: %v", m.name, describeEnd(err))
			time.Sleep(300 * time.Millisecond)
			if err := m.startDaemon(); err != nil {
				m.lab.log("daemon of %s doesn't start again: %v", m.name, err)
			}
		}
	}()
	return nil
}

func describeEnd(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// endDaemon kills the daemon.
func (m *machine) endDaemon() {
	m.mu.Lock()
	process, ended := m.process, m.ended
	m.isWanted = false
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-ended
}

// upSince returns when the daemon that runs started, and whether one runs.
func (m *machine) upSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt, m.isWanted
}

// startAll starts all servers and daemons.
func (l *lab) startAll() error {
	for _, m := range l.machines {
		if err := m.server.start(); err != nil {
			return err
		}
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all daemons say that they are ready.
func (l *lab) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second}
	for _, m := range l.machines {
		for {
			response, err := client.Get("http://" + m.readyAt + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon of %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// endAll ends all daemons and servers.
func (l *lab) endAll() {
	l.ending.Do(l.end)
}

func (l *lab) end() {
	for _, m := range l.machines {
		m.endDaemon()
		m.server.stop()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.logs)
	}
}

// config returns the operator's configuration: one service that is not divided by key, and its routes.
func config() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": 1500,
			"target_latency_ms": 200, "priority": 1, "service": serviceName, "attempts": attempts,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-lookup", "/lookup/", "safe", 2), route("r-book", "/book/", "unsafe", 2)},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 SCRIPT FOLDER WITH_TROUBLE")
		os.Exit(2)
	}
	script, folder, hasTrouble := os.Args[1], os.Args[2], os.Args[3] != "0"
	scripts := map[string]func(folder string, hasTrouble bool) (isBroken bool, err error){
		"connections": connections,
		"deadly":      deadly,
		"restored":    restored,
		"hang":        hang,
	}
	play := scripts[script]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown script", script)
		os.Exit(2)
	}
	isBroken, err := play(folder, hasTrouble)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case isBroken:
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(1)
	default:
		fmt.Println("the rule held; see record.txt")
	}
}
