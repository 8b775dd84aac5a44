// Package deployment runs a complete deployment on loopback addresses for demonstrations, measurements and tests. The
// daemons run as processes; stand-ins for the platform's store, the backend servers and the callers run in the
// calling process.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/ownership"
	"github.com/skylarkrelay/skylarkrelay/platform"
	"github.com/skylarkrelay/skylarkrelay/store"
)

// Group is a number of hosts that run one service in one failure domain.
type Group struct {
	FailureDomain ownership.FailureDomain
	Service       class.Service
	Hosts         int
}

// Plan describes a deployment: its groups of hosts and its configuration.
type Plan struct {
	Name   string
	Groups []Group
	Config *class.Config
}

// StartError reports a component of a deployment that failed to start.
type StartError struct {
	Component string
	Cause     error
}

func (e *StartError) Error() string { return "start " + e.Component + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

const (
	// The ports below are on the IP address of each host, except for storePort, which is on the IP address of the
	// store. The daemon uses the range from firstDaemonPort to lastDaemonPort for its own listeners.
	callerPort      = 7401
	readyPort       = 7402
	heartbeatPort   = 7403
	serverPort      = 7404
	storePort       = 7405
	firstDaemonPort = 7410
	lastDaemonPort  = 7415
	// stopTimeout bounds the wait for a daemon to exit after SIGTERM.
	stopTimeout = 8 * time.Second
)

// Deployment is a running deployment.
type Deployment struct {
	// Checker verifies the invariants of ownership and execution while the deployment runs.
	Checker *InvariantChecker
	Hosts   []*Host

	plan         Plan
	daemonBinary string
	dir          string
	// ipPrefix is the first two octets of all IP addresses of the deployment.
	ipPrefix      string
	memory        *store.Memory
	faultyStore   *faultyStore
	storeServer   *http.Server
	instanceCount atomic.Int64
	// config is what the operator last wrote to the store.
	config atomic.Pointer[[]byte]
	// deadlyCrashes counts the servers that a request has crashed.
	deadlyCrashes atomic.Int64
	mapAddress    AddressMapper
}

// networkCount counts the deployments started by this process, so that they do not begin with the same network.
var networkCount atomic.Int64

//go:generate go tool stringer -type=Link -linecomment

// Link identifies a network connection between two components of a deployment.
type Link int

const (
	// ToStore is the link from a daemon to the store.
	ToStore Link = iota // to_store
	// ToServer is the link from a daemon to the backend server on its host.
	ToServer // to_server
	// ToHop is the link on which other daemons forward calls to a daemon.
	ToHop // to_hop
	// ToControl is the link on which other daemons send control messages to a daemon.
	ToControl // to_control
)

// AddressMapper returns the address through which one end of a host's link reaches the other end, which listens on
// address. Tests use it to put a proxy into the link.
type AddressMapper func(h *Host, link Link, address string) (string, error)

// directAddress is the AddressMapper that connects both ends of a link without a proxy.
func directAddress(_ *Host, _ Link, address string) (string, error) { return address, nil }

// Start starts a deployment from the daemon's binary and keeps settings and log files in dir. If it returns both a
// deployment and an error, the caller has to stop the deployment.
func Start(plan Plan, binary, dir string) (*Deployment, error) {
	return StartWithMapper(plan, binary, dir, directAddress)
}

// StartWithMapper is like Start and routes each link through the address that mapAddress returns for it.
func StartWithMapper(plan Plan, binary, dir string, mapAddress AddressMapper) (*Deployment, error) {
	d := &Deployment{
		Checker:      newInvariantChecker(),
		plan:         plan,
		daemonBinary: binary,
		dir:          dir,
		memory:       store.NewMemory(clockwork.NewRealClock()),
		mapAddress:   mapAddress,
	}
	d.faultyStore = &faultyStore{Memory: d.memory}
	if err := d.startStore(); err != nil {
		return nil, err
	}
	if err := d.PutConfig(plan.Config); err != nil {
		return d, err
	}
	for g, group := range plan.Groups {
		for n := range group.Hosts {
			h := &Host{
				ID:    ownership.HostID(fmt.Sprintf("%s-%s-%d", group.FailureDomain, group.Service, n+1)),
				Group: group,
				ip:    fmt.Sprintf("%s.%d.%d", d.ipPrefix, g+1, n+1),
			}
			d.Hosts = append(d.Hosts, h)
			if err := d.mapAddresses(h); err != nil {
				return d, &StartError{Component: "links of " + string(h.ID), Cause: err}
			}
			if err := d.startHost(h); err != nil {
				return d, err
			}
		}
	}
	return d, nil
}

// mapAddresses sets the addresses of a host's links. The two links from other daemons must be mapped to the same IP
// address, because the daemon's settings have one advertised address for both.
func (d *Deployment) mapAddresses(h *Host) error {
	var err error
	if h.links.store, err = d.mapAddress(h, ToStore, d.storeAddress()); err != nil {
		return err
	}
	if h.links.server, err = d.mapAddress(h, ToServer, h.address(serverPort)); err != nil {
		return err
	}
	if _, err = d.mapAddress(h, ToControl, h.address(firstDaemonPort+1)); err != nil {
		return err
	}
	forwardAddress, err := d.mapAddress(h, ToHop, h.address(firstDaemonPort))
	if err != nil {
		return err
	}
	h.links.advertise, _, err = net.SplitHostPort(forwardAddress)
	return err
}

func (d *Deployment) storeAddress() string {
	return net.JoinHostPort(d.ipPrefix+".0.1", strconv.Itoa(storePort))
}

// startStore starts the store on a loopback network that no other deployment on this machine uses.
func (d *Deployment) startStore() error {
	listener, err := d.listenOnFreeNetwork()
	if err != nil {
		return &StartError{Component: "store", Cause: err}
	}
	d.storeServer = &http.Server{
		Handler:           d.faultyStore.handler(platform.StoreHandler(d.faultyStore)),
		ReadHeaderTimeout: heartbeatTimeout,
	}
	go func() { _ = d.storeServer.Serve(listener) }() // returns when Stop closes the server
	return nil
}

// networks is the number of loopback networks that deployments choose from.
const networks = 250

// listenOnFreeNetwork chooses the network of the deployment and listens on the address of its store. The store's port is
// taken on networks that other deployments use, in this process or another one.
func (d *Deployment) listenOnFreeNetwork() (net.Listener, error) {
	first := os.Getpid()*7 + int(networkCount.Add(1))*31
	for i := range networks {
		d.ipPrefix = fmt.Sprintf("127.%d", 1+(first+i)%networks)
		listener, err := net.Listen("tcp", d.storeAddress())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
	return nil, syscall.EADDRINUSE
}

// Config returns the configuration that the deployment started with. It must not be modified.
func (d *Deployment) Config() *class.Config { return d.plan.Config }

// PutConfig writes a configuration to the store in the form in which operators write it.
func (d *Deployment) PutConfig(c *class.Config) error {
	data, err := platform.EncodeConfig(c)
	if err != nil {
		return err
	}
	d.config.Store(&data)
	return d.writeConfig(data)
}

func (d *Deployment) writeConfig(data []byte) error {
	_, err := d.memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}})
	return err
}

func (d *Deployment) startHost(h *Host) error {
	if err := d.StartServer(h); err != nil {
		return err
	}
	return d.StartDaemon(h)
}

// StartServer starts a new instance of a host's backend server.
func (d *Deployment) StartServer(h *Host) error {
	number := d.instanceCount.Add(1)
	server := &Server{
		Host:              h.ID,
		domain:            h.Group.FailureDomain,
		service:           h.Group.Service,
		isKeyed:           d.plan.Config.Services[h.Group.Service].IsKeyed,
		address:           h.address(serverPort),
		advertisedAddress: h.links.server,
		heartbeatAddress:  h.address(heartbeatPort),
		instance:          ownership.Instance{ID: fmt.Sprintf("i-%s-%d", h.ID, number), Born: time.Now().UnixMilli()},
		checker:           d.Checker,
		warmup:            warmup{settings: d.plan.Config.Services[h.Group.Service], onCrash: h.CrashServer},
		headers:           platform.Headers(),
		onDeadly: func() {
			d.deadlyCrashes.Add(1)
			h.CrashServer()
		},
	}
	if err := server.start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server = server
	return nil
}

// StartDaemon writes a host's settings file and starts its daemon, which appends its output to the host's log file.
func (d *Deployment) StartDaemon(h *Host) error {
	path := filepath.Join(d.dir, string(h.ID)+".toml")
	if err := os.WriteFile(path, []byte(d.daemonSettings(h)), 0o600); err != nil {
		return &StartError{Component: "daemon", Cause: err}
	}
	log, err := os.OpenFile(filepath.Join(d.dir, string(h.ID)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StartError{Component: "daemon", Cause: err}
	}
	process := exec.Command(d.daemonBinary, "run", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return &StartError{Component: "daemon", Cause: err}
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = process, exited
	h.mu.Unlock()
	go func() {
		_ = process.Wait() // the daemon's log states why it exited
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *Deployment) daemonSettings(h *Host) string {
	return fmt.Sprintf(`host = %q
failure_domain = %q
service = %q
address = %q
advertise = %q

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
heartbeat_interval = %q

[evacuation]
time = %q
`, h.ID, h.Group.FailureDomain, h.Group.Service, h.ip, h.links.advertise, firstDaemonPort, lastDaemonPort,
		h.links.store, h.CallerAddress(), h.address(readyPort), h.address(heartbeatPort), h.links.server,
		heartbeatInterval.String(), EvacuationTime.String())
}

// FindHost returns the host with the given ID, or nil if there is none.
func (d *Deployment) FindHost(id string) *Host {
	for _, h := range d.Hosts {
		if string(h.ID) == id {
			return h
		}
	}
	return nil
}

// HostsInDomain returns the hosts of a failure domain.
func (d *Deployment) HostsInDomain(domain string) []*Host {
	var found []*Host
	for _, h := range d.Hosts {
		if string(h.Group.FailureDomain) == domain {
			found = append(found, h)
		}
	}
	return found
}

// TakeStoreDown makes the store answer every call with status 503 until BringStoreUp is called. If expireLeases is
// set, leases expire during the outage; otherwise BringStoreUp extends them by its length.
func (d *Deployment) TakeStoreDown(expireLeases bool) { d.faultyStore.takeDown(expireLeases) }

// BringStoreUp ends the outage that TakeStoreDown began.
func (d *Deployment) BringStoreUp() { d.faultyStore.bringUp() }

// CopyStore returns a copy of the store for RestoreStore.
func (d *Deployment) CopyStore() *store.MemoryCopy { return d.memory.Copy() }

// RestoreStore ends an outage with a store that is restored from a copy. What daemons have written since is lost, and
// what the operator has written is written again.
func (d *Deployment) RestoreStore(backup *store.MemoryCopy) error {
	d.memory.Restore(backup)
	d.faultyStore.bringUp()
	if newest := d.config.Load(); newest != nil {
		if err := d.writeConfig(*newest); err != nil {
			return err
		}
	}
	return d.rewriteEvacuations()
}

// SetHostRejected sets whether the store answers all calls from a host's IP address with status 503.
func (d *Deployment) SetHostRejected(h *Host, isRejected bool) {
	d.faultyStore.setRejected(h.ip, isRejected)
}

// DeletePresence deletes a host's presence from the store while its lease remains valid.
func (d *Deployment) DeletePresence(h *Host) {
	d.memory.RemoveLeased(ownership.StoreLayout{Prefix: platform.KeyPrefix}.Presence(h.ID))
}

// IsRegistered reports whether the store has a host's presence.
func (d *Deployment) IsRegistered(h *Host) bool {
	item, err := d.memory.Get(context.Background(), ownership.StoreLayout{Prefix: platform.KeyPrefix}.Presence(h.ID))
	return err == nil && item.Revision != 0
}

// StoreCallCount returns the number of calls that the store has received, without those rejected with status 503.
func (d *Deployment) StoreCallCount() int64 { return d.faultyStore.callCount.Load() }

// DelayStore makes the store wait before it executes each call; zero ends the delay.
func (d *Deployment) DelayStore(delay time.Duration) { d.faultyStore.setDelay(delay) }

// LoseStoreResponses makes the store execute the given share of the calls after a random delay and close their
// connections without a response; zero ends this.
func (d *Deployment) LoseStoreResponses(rate float64) { d.faultyStore.setLossRate(rate) }

// SendDeadly sends a request that crashes each server that runs it, of one class, through the daemons beside the servers
// of one service in turn: requests of different origins are different ones. It starts the crashed servers again, and
// returns the number of servers that were crashed and of responses by status.
func (d *Deployment) SendDeadly(c *class.Class, count int, interval time.Duration) (int64, map[int]int, error) {
	before := d.deadlyCrashes.Load()
	client := &http.Client{Timeout: c.Timeout + probeTimeout}
	defer client.CloseIdleConnections()
	responses := map[int]int{}
	origins := slices.DeleteFunc(slices.Clone(d.Hosts), func(h *Host) bool {
		return h.Group.Service != d.Hosts[0].Group.Service
	})
	for i := range count {
		h := origins[i%len(origins)]
		status, _, err := d.sendRequest(client, h, c, deadlyPath, 0, fmt.Sprintf("deadly-%s-%d", c.Name, i))
		if err != nil {
			return 0, nil, err
		}
		responses[status]++
		time.Sleep(interval)
		for _, crashed := range d.Hosts {
			if !crashed.HasServer() {
				if err := d.StartServer(crashed); err != nil {
					return 0, nil, err
				}
			}
		}
	}
	return d.deadlyCrashes.Load() - before, responses, nil
}

// CompactStore makes the store discard its history of changes.
func (d *Deployment) CompactStore() { d.memory.Compact() }

// Record returns the current ownership record of a service, or nil if there is none or it cannot be decoded.
func (d *Deployment) Record(service class.Service) *ownership.Record {
	key := ownership.StoreLayout{Prefix: platform.KeyPrefix}.Record(service)
	item, err := d.memory.Get(context.Background(), key)
	if err != nil || item.Revision == 0 {
		return nil
	}
	record, err := ownership.Decode(item.Value)
	if err != nil {
		return nil
	}
	return record
}

// Logs returns the log output of all daemons that a host has run, or the error from reading the log file.
func (d *Deployment) Logs(h *Host) string {
	data, err := os.ReadFile(filepath.Join(d.dir, string(h.ID)+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(data))
}

// Stop kills all daemons and stops the backend servers and the store.
func (d *Deployment) Stop() {
	for _, h := range d.Hosts {
		if h.isStarted() {
			_ = h.SignalDaemon(syscall.SIGCONT) // the daemon may have exited already
			h.KillDaemon()
		}
		h.CrashServer()
	}
	_ = d.storeServer.Close() // no client is left that needs its connection
}
