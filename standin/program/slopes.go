package program

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/skylarkrelay/skylarkrelay/standin/deployment"
)

// slopesCommand measures what daemons use for control alone, by the size of the mesh.
type slopesCommand struct {
	Relay  string        `long:"relay" default:"bin/skylarkrelay" description:"the daemon's program"`
	Settle time.Duration `long:"settle" default:"5s" description:"how long to wait after the start"`
	Idle   time.Duration `long:"idle" default:"10s" description:"how long to measure"`
	Hosts  []int         `long:"hosts" default:"12" default:"24" default:"48" default:"96" description:"sizes of the mesh"`

	streams streams
}

// slope is what one daemon of a mesh uses on average for each second without calls.
type slope struct {
	hosts     int
	processor float64
	resident  float64
	read      float64
	written   float64
	storeHits float64
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	table := tabwriter.NewWriter(c.streams.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "hosts\t% of a core\tMB\tkB/s in\tkB/s out\tstore calls/s, all\t")
	for _, hosts := range c.Hosts {
		s, err := c.measure(hosts)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%d\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t\n", s.hosts, 100*s.processor, s.resident/1e6, s.read/1e3,
			s.written/1e3, s.storeHits)
	}
	return table.Flush()
}

func (c *slopesCommand) measure(hosts int) (slope, error) {
	dir, err := os.MkdirTemp("", "skylarkrelay-slopes-")
	if err != nil {
		return slope{}, &ServeError{Address: "directory", Cause: err}
	}
	defer os.RemoveAll(dir)
	d, err := deployment.Start(deployment.Wide(hosts), c.Relay, dir)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return slope{}, err
	}
	time.Sleep(c.Settle)
	before, calls, err := sum(d)
	if err != nil {
		return slope{}, err
	}
	begun := time.Now()
	time.Sleep(c.Idle)
	after, callsAfter, err := sum(d)
	if err != nil {
		return slope{}, err
	}
	seconds := time.Since(begun).Seconds()
	each := seconds * float64(hosts)
	return slope{
		hosts:     hosts,
		processor: (after.Processor - before.Processor).Seconds() / each,
		resident:  float64(after.Resident) / float64(hosts),
		read:      float64(after.Read-before.Read) / each,
		written:   float64(after.Written-before.Written) / each,
		storeHits: float64(callsAfter-calls) / seconds,
	}, nil
}

// sum adds up what all daemons have used, and how many calls the store has had.
func sum(d *deployment.Deployment) (deployment.Usage, int64, error) {
	var total deployment.Usage
	for _, h := range d.Hosts {
		used, err := h.Usage()
		if err != nil {
			return total, 0, err
		}
		total.Processor += used.Processor
		total.Resident += used.Resident
		total.Read += used.Read
		total.Written += used.Written
	}
	return total, d.StoreCalls(), nil
}
