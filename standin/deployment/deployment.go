// Package deployment runs a whole deployment on loopback: the daemons as processes, and stand-ins for the platform's
// store, backend servers and callers in this one.
package deployment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// Group is some hosts of one service in one failure domain.
type Group struct {
	Domain  ownership.Domain
	Service class.Service
	Hosts   int
}

// Plan is what a deployment consists of.
type Plan struct {
	Name   string
	Groups []Group
	Config *class.Config
}

// StartError reports a part that did not start.
type StartError struct {
	What  string
	Cause error
}

func (e *StartError) Error() string { return "start " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Ports of each host. The daemons' own begin at firstPort.
const (
	callerPort  = 7401
	readyPort   = 7402
	beatPort    = 7403
	serverPort  = 7404
	storePort   = 7405
	firstPort   = 7410
	lastPort    = 7415
	stopTimeout = 8 * time.Second
)

// Deployment is a running deployment.
type Deployment struct {
	Checker *Ledger
	Hosts  []*Host

	plan   Plan
	binary string
	dir    string
	prefix string
	memory *store.Memory
	faults *faultyStore
	server *http.Server
	lives  atomic.Int64
	wiring Wiring
}

// nets counts the deployments of this process, so that each has a loopback network of its own.
var nets atomic.Int64

//go:generate go tool stringer -type=Link -linecomment

// Link is a way between two parts of a deployment.
type Link int

const (
	// ToStore leads from a daemon to the store.
	ToStore Link = iota // to_store
	// ToServer leads from a daemon to its backend server.
	ToServer // to_server
	// ToHop leads from other daemons to a daemon, for calls.
	ToHop // to_hop
	// ToControl leads from other daemons to a daemon, for control messages.
	ToControl // to_control
)

// Wiring returns the address at which one end of a host's link finds the other end, which listens at the given one.
type Wiring func(h *Host, link Link, address string) (string, error)

// straight is the wiring without anything between.
func straight(_ *Host, _ Link, address string) (string, error) { return address, nil }

// Start starts a deployment with a daemon's binary, and keeps its files in a directory.
func Start(plan Plan, binary, dir string) (*Deployment, error) {
	return StartWithMapper(plan, binary, dir, straight)
}

// StartWithMapper starts a deployment whose links go where a wiring says.
func StartWithMapper(plan Plan, binary, dir string, wiring Wiring) (*Deployment, error) {
	second := 1 + (os.Getpid()*7+int(nets.Add(1))*31)%250
	d := &Deployment{
		Checker: newLedger(),
		plan:   plan,
		binary: binary,
		dir:    dir,
		prefix: fmt.Sprintf("127.%d", second),
		memory: store.NewMemory(clockwork.NewRealClock()),
		wiring: wiring,
	}
	d.faults = &faultyStore{Memory: d.memory}
	if err := d.startStore(); err != nil {
		return nil, err
	}
	if err := d.PutConfig(plan.Config); err != nil {
		return d, err
	}
	for g, group := range plan.Groups {
		for n := range group.Hosts {
			h := &Host{
				ID:    ownership.HostID(fmt.Sprintf("%s-%s-%d", group.Domain, group.Service, n+1)),
				Group: group,
				ip:    fmt.Sprintf("%s.%d.%d", d.prefix, g+1, n+1),
			}
			d.Hosts = append(d.Hosts, h)
			if err := d.wire(h); err != nil {
				return d, &StartError{What: "links of " + string(h.ID), Cause: err}
			}
			if err := d.startHost(h); err != nil {
				return d, err
			}
		}
	}
	return d, nil
}

// wire asks the wiring for a host's links. Both links from other daemons have to lead to one IP number.
func (d *Deployment) wire(h *Host) error {
	var err error
	if h.links.store, err = d.wiring(h, ToStore, d.storeAddress()); err != nil {
		return err
	}
	if h.links.server, err = d.wiring(h, ToServer, h.address(serverPort)); err != nil {
		return err
	}
	if _, err = d.wiring(h, ToControl, h.address(firstPort+1)); err != nil {
		return err
	}
	hop, err := d.wiring(h, ToHop, h.address(firstPort))
	if err != nil {
		return err
	}
	h.links.advertise, _, err = net.SplitHostPort(hop)
	return err
}

func (d *Deployment) storeAddress() string {
	return net.JoinHostPort(d.prefix+".0.1", strconv.Itoa(storePort))
}

func (d *Deployment) startStore() error {
	listener, err := net.Listen("tcp", d.storeAddress())
	if err != nil {
		return &StartError{What: "store", Cause: err}
	}
	d.server = &http.Server{Handler: d.faults.handler(platform.StoreHandler(d.faults)), ReadHeaderTimeout: beatTimeout}
	go func() { _ = d.server.Serve(listener) }() // it ends with Stop
	return nil
}

// PutConfig writes a configuration the way the operator does.
func (d *Deployment) PutConfig(c *class.Config) error {
	data, err := platform.EncodeConfig(c)
	if err != nil {
		return err
	}
	_, err = d.memory.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}})
	return err
}

func (d *Deployment) startHost(h *Host) error {
	if err := d.StartServer(h); err != nil {
		return err
	}
	return d.StartDaemon(h)
}

// StartServer starts a new life of a host's backend server.
func (d *Deployment) StartServer(h *Host) error {
	life := d.lives.Add(1)
	server := &Server{
		Host:     h.ID,
		service:  h.Group.Service,
		isKeyed:  d.plan.Config.Services[h.Group.Service].IsKeyed,
		address:  h.address(serverPort),
		reached:  h.links.server,
		control:  h.address(beatPort),
		instance: ownership.Instance{ID: fmt.Sprintf("i-%s-%d", h.ID, life), Born: time.Now().UnixMilli()},
		ledger:   d.Checker,
		names:    platform.Headers(),
	}
	if err := server.start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server = server
	return nil
}

// StartDaemon starts a host's daemon.
func (d *Deployment) StartDaemon(h *Host) error {
	path := filepath.Join(d.dir, string(h.ID)+".toml")
	if err := os.WriteFile(path, []byte(d.settings(h)), 0o600); err != nil {
		return &StartError{What: "daemon", Cause: err}
	}
	log, err := os.OpenFile(filepath.Join(d.dir, string(h.ID)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &StartError{What: "daemon", Cause: err}
	}
	process := exec.Command(d.binary, "run", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return &StartError{What: "daemon", Cause: err}
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = process, exited
	h.mu.Unlock()
	go func() {
		_ = process.Wait() // how it ended is in its log
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *Deployment) settings(h *Host) string {
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
`, h.ID, h.Group.Domain, h.Group.Service, h.ip, h.links.advertise, firstPort, lastPort, h.links.store, h.Caller(),
		h.address(readyPort), h.address(beatPort), h.links.server, beatInterval.String())
}

// FindHost returns a host.
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
		if string(h.Group.Domain) == domain {
			found = append(found, h)
		}
	}
	return found
}

// TakeStoreDown makes the store answer nothing but 503 until it is up again. Leases pause or run out meanwhile.
func (d *Deployment) TakeStoreDown(lapse bool) { d.faults.down(lapse) }

// BringStoreUp ends that.
func (d *Deployment) BringStoreUp() { d.faults.up() }

// SetHostRejected makes the store turn a host away, or no longer.
func (d *Deployment) SetHostRejected(h *Host, isRefused bool) { d.faults.refuse(h.ip, isRefused) }

// DeletePresence makes the store lose a host's presence while its lease goes on.
func (d *Deployment) DeletePresence(h *Host) {
	d.memory.RemoveLeased(ownership.Layout{Prefix: platform.KeyPrefix}.Presence(h.ID))
}

// IsRegistered tells whether the store has a host's presence.
func (d *Deployment) IsRegistered(h *Host) bool {
	item, err := d.memory.Get(context.Background(), ownership.Layout{Prefix: platform.KeyPrefix}.Presence(h.ID))
	return err == nil && item.Revision != 0
}

// StoreCalls returns how many calls the store has had.
func (d *Deployment) StoreCalls() int64 { return d.faults.calls.Load() }

// DelayStore makes the store wait before each call it answers; zero ends that.
func (d *Deployment) DelayStore(wait time.Duration) { d.faults.setSlow(wait) }

// LoseStoreResponses makes the store execute a share of the calls without answering them, some of them late; zero ends that.
func (d *Deployment) LoseStoreResponses(share float64) { d.faults.setLosing(share) }

// CompactStore makes the store forget its history.
func (d *Deployment) CompactStore() { d.memory.Compact() }

// Record returns the present record of a service, or nil.
func (d *Deployment) Record(service class.Service) *ownership.Record {
	key := ownership.Layout{Prefix: platform.KeyPrefix}.Record(service)
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

// Logs returns what a host's daemons wrote.
func (d *Deployment) Logs(h *Host) string {
	data, err := os.ReadFile(filepath.Join(d.dir, string(h.ID)+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(data))
}

// Stop ends everything.
func (d *Deployment) Stop() {
	for _, h := range d.Hosts {
		if h.isStarted() {
			_ = h.SignalDaemon(syscall.SIGCONT) // it may have ended
			h.KillDaemon()
		}
		h.CrashServer()
	}
	_ = d.server.Close() // nobody is left
}
