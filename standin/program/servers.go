package program

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	wire "github.com/skylarkrelay/skylarkrelay/backend"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/standin/backend"
	"github.com/skylarkrelay/skylarkrelay/standin/cutter"
	"github.com/skylarkrelay/skylarkrelay/standin/platform"
)

// platformCommand plays the platform.
type platformCommand struct {
	Listen  string `long:"listen" required:"yes" description:"address, host:port"`
	streams streams
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := untilStopped()
	defer stop()
	return serve(ctx, c.Listen, platform.New().Handler())
}

// backendCommand plays a backend server.
type backendCommand struct {
	Listen      string        `long:"listen" required:"yes" description:"address, host:port"`
	Daemon      string        `long:"daemon" required:"yes" description:"where the daemon beside takes announcements"`
	Name        string        `long:"name" required:"yes" description:"name in answers"`
	Service     string        `long:"service" required:"yes" description:"service of the server"`
	Slots       int           `long:"slots" default:"6" description:"orders at a time"`
	Connections int           `long:"connections" default:"120" description:"connections"`
	ServiceTime time.Duration `long:"service-time" default:"4ms" description:"time that an order takes"`
	ColdTime    time.Duration `long:"cold-time" default:"0s" description:"time for which the server is cold"`
	ColdFactor  float64       `long:"cold-factor" default:"5" description:"how much slower a cold server is"`
	Unchecked   bool          `long:"unchecked" description:"do not check fences and grants"`
	streams     streams
}

// drainTime bounds the wait for running orders at the end.
const drainTime = 10 * time.Second

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	ctx, stop := untilStopped()
	defer stop()
	clock := clockwork.NewRealClock()
	server := backend.New(backend.Options{
		Name:         c.Name,
		Slots:        c.Slots,
		ServiceTime:  c.ServiceTime,
		ColdTime:     c.ColdTime,
		ColdFactor:   c.ColdFactor,
		ChecksFences: !c.Unchecked,
	}, clock)
	announcement := wire.Announcement{
		Service:      class.Service(c.Service),
		Address:      c.Listen,
		Slots:        c.Slots,
		Connections:  c.Connections,
		ChecksFences: !c.Unchecked,
	}
	serving, end := context.WithCancel(context.Background())
	defer end()
	served := make(chan error, 1)
	go func() { served <- serve(serving, c.Listen, server.Handler()) }()
	report := func(err error) { fmt.Fprintln(c.streams.err, c.Name, err) }
	go server.Announce(ctx, c.Daemon, announcement, clock, report)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	announcement.Draining = true
	draining, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := wire.Announce(draining, http.DefaultClient, c.Daemon, announcement); err != nil {
		report(err) // the daemon may be gone already
	}
	return server.Guard().Drain(draining)
}

// cutterCommand relays connections.
type cutterCommand struct {
	Listen  string `long:"listen" required:"yes" description:"address that takes connections"`
	To      string `long:"to" required:"yes" description:"address that they lead to"`
	Control string `long:"control" required:"yes" description:"address that takes POST /cut and POST /heal"`
	streams streams
}

// Execute implements flags.Commander.
func (c *cutterCommand) Execute([]string) error {
	ctx, stop := untilStopped()
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return &ServeError{Address: c.Listen, Cause: err}
	}
	relay := cutter.New(c.To)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { relay.Cut() })
	mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { relay.Heal() })
	served := make(chan error, 1)
	go func() { served <- relay.Serve(ctx, listener) }()
	if err := serve(ctx, c.Control, mux); err != nil {
		return err
	}
	return <-served
}
