package cmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/daemon"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

// stopSignals is how many signals to stop are told apart: the first is graceful, the second is not.
const stopSignals = 2

// runCommand runs the daemon.
type runCommand struct {
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"TOML file of this daemon"`
	} `positional-args:"yes" required:"yes"`

	streams streams
}

func addRun(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("run", "run the daemon", "Runs the daemon until SIGTERM or SIGINT. "+
		"The first signal hands the keys over and lets running calls end; a second one stops at once.", &runCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.Settings)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       string(s.Host),
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == "json",
		Output:     c.streams.err,
	})
	signals := make(chan os.Signal, stopSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	stop := make(chan struct{})
	done := make(chan struct{})
	defer close(done)
	go forward(signals, stop, done)
	return daemon.New(s, log, clockwork.NewRealClock()).Run(stop)
}

// forward passes signals on until the daemon has ended.
func forward(signals <-chan os.Signal, stop chan<- struct{}, done <-chan struct{}) {
	for {
		select {
		case <-signals:
		case <-done:
			return
		}
		select {
		case stop <- struct{}{}:
		case <-done:
			return
		}
	}
}
