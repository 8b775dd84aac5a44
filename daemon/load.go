package daemon

import "time"

const (
	// loadInterval is how often load is measured. Each time allows one move for the sake of load.
	loadInterval = 5 * time.Second
	// loadWeight is the weight of the newest measurement.
	loadWeight = 0.5
)

// loadMeter turns the time that slots' orders took into busy places.
type loadMeter struct {
	at     time.Time
	worked []time.Duration
	loads  []float64
}

// measureLoad tells the machine the load of each slot.
func (c *control) measureLoad(now time.Time) {
	meter := &c.loadMeter
	elapsed := now.Sub(meter.at)
	if c.machine == nil || elapsed < loadInterval {
		return
	}
	worked := c.runner.Worked()
	isFirst := meter.worked == nil
	if isFirst {
		meter.loads = make([]float64, len(worked))
	}
	for slot := range worked {
		if isFirst {
			continue
		}
		load := (worked[slot] - meter.worked[slot]).Seconds() / elapsed.Seconds()
		meter.loads[slot] += loadWeight * (load - meter.loads[slot])
	}
	meter.at = now
	meter.worked = worked
	c.carryOut(now, c.machine.SetLoads(now, append([]float64(nil), meter.loads...)), "")
}
