package program

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

// slopesCommand measures the resource usage of daemons that handle no calls, for several sizes of the mesh. All of
// this usage is control traffic and its processing.
type slopesCommand struct {
	Relay  string        `long:"relay" default:"bin/skylarkrelay" description:"the daemon's program"`
	Settle time.Duration `long:"settle" default:"5s" description:"how long to wait after the start"`
	Idle   time.Duration `long:"idle" default:"10s" description:"how long to measure"`
	Hosts  []int         `long:"hosts" default:"12" default:"24" default:"48" default:"96" description:"sizes of the mesh"`

	streams streams
}

// daemonUsage is the average resource usage of one daemon in a mesh without calls.
type daemonUsage struct {
	hosts            int
	cpuCores         float64
	residentBytes    float64
	readPerSecond    float64
	writtenPerSecond float64
	// storeCallsPerSecond counts the calls of all daemons of the mesh.
	storeCallsPerSecond float64
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	table := tabwriter.NewWriter(c.streams.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "hosts\t% of a core\tMB\tkB/s in\tkB/s out\tstore calls/s, all\t")
	for _, hosts := range c.Hosts {
		usage, err := c.measure(hosts)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%d\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t\n",
			usage.hosts, 100*usage.cpuCores, usage.residentBytes/1e6, usage.readPerSecond/1e3,
			usage.writtenPerSecond/1e3, usage.storeCallsPerSecond)
	}
	return table.Flush()
}

// measure starts a mesh of the given size, waits until it has settled, and measures its usage.
func (c *slopesCommand) measure(hosts int) (daemonUsage, error) {
	dir, err := os.MkdirTemp("", "skylarkrelay-slopes-")
	if err != nil {
		return daemonUsage{}, &FileError{Path: "directory", Cause: err}
	}
	defer os.RemoveAll(dir)
	d, err := deployment.Start(deployment.Wide(hosts), c.Relay, dir)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return daemonUsage{}, err
	}
	time.Sleep(c.Settle)
	before, callsBefore, err := totalUsage(d)
	if err != nil {
		return daemonUsage{}, err
	}
	started := time.Now()
	time.Sleep(c.Idle)
	after, callsAfter, err := totalUsage(d)
	if err != nil {
		return daemonUsage{}, err
	}
	seconds := time.Since(started).Seconds()
	daemonSeconds := seconds * float64(hosts)
	return daemonUsage{
		hosts:               hosts,
		cpuCores:            (after.CPUTime - before.CPUTime).Seconds() / daemonSeconds,
		residentBytes:       float64(after.ResidentBytes) / float64(hosts),
		readPerSecond:       float64(after.ReadBytes-before.ReadBytes) / daemonSeconds,
		writtenPerSecond:    float64(after.WrittenBytes-before.WrittenBytes) / daemonSeconds,
		storeCallsPerSecond: float64(callsAfter-callsBefore) / seconds,
	}, nil
}

// totalUsage returns the resource usage of all daemons together and the number of calls that the store has received.
func totalUsage(d *deployment.Deployment) (deployment.Usage, int64, error) {
	var total deployment.Usage
	for _, h := range d.Hosts {
		used, err := h.Usage()
		if err != nil {
			return total, 0, err
		}
		total.CPUTime += used.CPUTime
		total.ResidentBytes += used.ResidentBytes
		total.ReadBytes += used.ReadBytes
		total.WrittenBytes += used.WrittenBytes
	}
	return total, d.StoreCallCount(), nil
}
