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
	// stopSignalBuffer has room for two signals to stop: the first stops gracefully, the second immediately.
	stopSignalBuffer = 2
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is below Go's default of
	// 100, because memory is scarcer on the hosts than the processor time for collecting a small heap.
	gcPercent = 60
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit, near which it collects garbage more often, to
	// the memory limit of the process. The remainder is for memory that the runtime does not manage.
	memoryLimitRatio = 0.7
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
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Limits.MemoryMB<<20)))
	}
	isJSON := s.Log.Format == "json"
	out := newLogWriter(c.streams.out, isJSON)
	defer out.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       string(s.Host),
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: isJSON,
		Output:     out,
	})
	stops := make(chan os.Signal, stopSignalBuffer)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stops)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	stop, reload, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer close(done)
	go relaySignals(stops, stop, done)
	go relaySignals(reloads, reload, done)
	d := daemon.New(s, daemon.Options{
		Log:    log,
		Clock:  clockwork.NewRealClock(),
		Reload: func() (settings.Settings, error) { return settings.Load(c.Settings) },
	})
	return d.Run(stop, reload)
}

// relaySignals sends one value to a channel for each signal, until done is closed.
func relaySignals(signals <-chan os.Signal, to chan<- struct{}, done <-chan struct{}) {
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
