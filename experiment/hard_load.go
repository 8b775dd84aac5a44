package experiment

import (
	"math"
	"time"

	"github.com/skylarkrelay/skylarkrelay/admission"
)

// Swing makes the arrival rates outside floods oscillate around their means.
type Swing struct {
	// Amplitude is the greatest deviation as a share of the mean.
	Amplitude float64
	Period    time.Duration
}

// factor returns the arrival rate at a time as a multiple of the mean.
func (w Swing) factor(at time.Duration) float64 {
	return 1 + w.Amplitude*math.Sin(2*math.Pi*at.Seconds()/w.Period.Seconds())
}

// Server describes a server whose run times deviate as those of real servers do.
type Server struct {
	Slots int
	// Speed divides the run times.
	Speed float64
	// Spread is the standard deviation of the run times as a share of the mean. A share TailShare of the calls runs for
	// TailFactor times as long.
	Spread     float64
	TailShare  float64
	TailFactor float64
	// In each SlowEvery the server is slow for SlowTime: all runs proceed SlowFactor times slower.
	SlowEvery, SlowTime time.Duration
	SlowFactor          float64
	// ReturnTimes is the number of times that the caller of a rejected call returns after its Retry-After, if that is at
	// most a third of the time left.
	ReturnTimes int
}

// slots returns how many jobs the server runs at a time.
func (s *simulation) slots() int {
	if s.scenario.Server != nil {
		return s.scenario.Server.Slots
	}
	return concurrency
}

// startOn runs a job on a described server.
func (s *simulation) startOn(server *Server, job *admission.Job) {
	// A log-normal distribution with the given mean and deviation.
	variance := math.Log(1 + server.Spread*server.Spread)
	run := s.loads[job.Class].ServiceTime.Seconds() / server.Speed *
		math.Exp(math.Sqrt(variance)*s.random.NormFloat64()-variance/2)
	if s.random.Float64() < server.TailShare {
		run *= server.TailFactor
	}
	startedAt := s.now
	end := server.endOf(startedAt, time.Duration(run*float64(time.Second)))
	s.schedule(end, func() { s.finish(job, end-startedAt) })
}

// endOf returns when a run ends that takes the given time at the usual speed.
func (v *Server) endOf(at, run time.Duration) time.Duration {
	if v.SlowEvery == 0 {
		return at + run
	}
	for {
		phase := at % v.SlowEvery
		factor, left := 1.0, v.SlowEvery-phase
		if phase < v.SlowTime {
			factor, left = v.SlowFactor, v.SlowTime-phase
		}
		needed := time.Duration(float64(run) * factor)
		if needed <= left {
			return at + needed
		}
		run -= time.Duration(float64(left) / factor)
		at += left
	}
}

// scheduleReturn schedules the return of a rejected call whose caller waits as it was told.
func (s *simulation) scheduleReturn(job *admission.Job) {
	server := s.scenario.Server
	if server == nil || job.RetryAfter > job.Deadline.Sub(s.time())/3 {
		return
	}
	returns, _ := job.Data.(int)
	if returns >= server.ReturnTimes {
		return
	}
	load := s.loads[job.Class]
	s.schedule(s.now+job.RetryAfter, func() { s.offer(load, job.Deadline.Sub(startTime), returns+1) })
}

// scheduleLoad schedules the calls of a class outside floods.
func (s *simulation) scheduleLoad(l ClassLoad) {
	if s.scenario.Swing == nil {
		s.scheduleArrivals(l, 0, s.scenario.Length, l.Rate)
		return
	}
	peak := 1 + s.scenario.Swing.Amplitude
	var next func(from time.Duration)
	next = func(from time.Duration) {
		at := from + time.Duration(s.random.ExpFloat64()/(l.Rate*peak)*float64(time.Second))
		if at >= s.scenario.Length {
			return
		}
		s.schedule(at, func() {
			if s.random.Float64()*peak < s.scenario.Swing.factor(at) {
				s.arrive(l)
			}
			next(at)
		})
	}
	next(0)
}
