package cmd

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"github.com/skylarkrelay/skylarkrelay/daemon"
	"github.com/skylarkrelay/skylarkrelay/settings"
)

const (
	// stopSignals is how many signals to stop are told apart: the first is graceful, the second is not.
	stopSignals = 2
	// garbagePercent is how much the heap may grow between collections: less than usual, since memory is dearer on the
	// hosts than the processor time that collecting a small heap takes.
	garbagePercent = 60
	// memoryShare is the part of the process's memory limit from which on garbage is collected harder. The rest is for
	// what the collector does not see.
	memoryShare = 0.7
)

// runCommand runs the daemon.
type runCommand struct {
	Settings string `long:"settings" env:"SKYLARKRELAY_SETTINGS" required:"yes" value-name:"FILE" description:"TOML file of this daemon"`

	streams streams
}

func addRun(parent *flags.Command, s streams) error {
	_, err := parent.AddCommand("run", "run the daemon", "Runs the daemon until SIGTERM or SIGINT. "+
		"The first signal hands the keys over and lets running calls end; a second one stops at once. "+
		"SIGHUP reads the settings again.", &runCommand{streams: s})
	return err
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbagePercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
	out := newLogWriter(c.streams.out)
	defer out.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       string(s.Host),
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == "json",
		Output:     out,
	})
	stops := make(chan os.Signal, stopSignals)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stops)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	stop, reload, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer close(done)
	go forward(stops, stop, done)
	go forward(reloads, reload, done)
	d := daemon.New(s, daemon.Options{
		Log:    log,
		Clock:  clockwork.NewRealClock(),
		Reload: func() (settings.Settings, error) { return settings.Load(c.Settings) },
	})
	return d.Run(stop, reload)
}

// forward passes signals on until the daemon has ended.
func forward(signals <-chan os.Signal, to chan<- struct{}, done <-chan struct{}) {
	for {
		select {
		case <-signals:
		case <-done:
			return
		}
		select {
		case to <- struct{}{}:
		case <-done:
			return
		}
	}
}
