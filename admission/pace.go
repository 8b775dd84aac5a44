package admission

import "time"

const (
	// paceWeight is the weight of one job in the moving average of the pace.
	paceWeight = 0.1
	// maxPace bounds the factor, and maxPaceSample the part that one job may contribute. A few jobs in a hundred run for
	// many times the mean and are no sign of a slow server.
	maxPace       = 4.0
	maxPaceSample = 3.0
	// minPace is the least factor. A lower one is random: jobs that are short by chance end first.
	minPace = 0.85
)

// runningJob is a job that the server runs.
type runningJob struct {
	job       *Job
	startedAt time.Time
}

// pace estimates how much longer jobs run at the moment than usual. The learned service times follow lasting changes;
// the pace follows moments in which a server is several times slower.
type pace struct {
	jobs []runningJob
	// ended is the moving average of the ratio of run times to the learned service times.
	ended float64
	// age is the mean ratio of the time that the running jobs have run to their service time. On a server that has become
	// slow it grows before the first job ends.
	age float64
}

// factor returns the estimate: 1 is the usual pace, 3 that of a server that is three times slower.
func (p *pace) factor() float64 { return min(maxPace, max(minPace, p.ended, p.age)) }

// running returns the number of jobs that the server runs.
func (p *pace) running() int { return len(p.jobs) }

func (p *pace) start(now time.Time, job *Job) {
	p.jobs = append(p.jobs, runningJob{job: job, startedAt: now})
}

// end removes a job that ended or was not started after all.
func (p *pace) end(job *Job) {
	for i := range p.jobs {
		if p.jobs[i].job == job {
			last := len(p.jobs) - 1
			p.jobs[i] = p.jobs[last]
			p.jobs[last] = runningJob{}
			p.jobs = p.jobs[:last]
			return
		}
	}
}

// observeEnd records the run time of a job relative to the service time of its class.
func (p *pace) observeEnd(runTime, serviceTime time.Duration) {
	if p.ended == 0 {
		p.ended = 1
	}
	p.ended += paceWeight * (min(maxPaceSample, ratioOf(runTime, serviceTime)) - p.ended)
}

// observeRunning updates the mean age of the running jobs.
func (p *pace) observeRunning(now time.Time, t *TargetPolicy) {
	p.age = 0
	if len(p.jobs) == 0 {
		return
	}
	for _, r := range p.jobs {
		if s := t.states[r.job.Class]; s != nil {
			p.age += min(maxPaceSample, ratioOf(now.Sub(r.startedAt), s.serviceTime))
		}
	}
	p.age /= float64(len(p.jobs))
}

func ratioOf(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }
