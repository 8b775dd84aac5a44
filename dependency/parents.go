package dependency

import (
	"math"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

const (
	// parentMemory is the time constant with which it is forgotten which runs were in progress when nested calls entered.
	// A server that is full runs calls of all classes all the time, so that only calmer periods tell its classes apart.
	parentMemory = 5 * time.Minute
	// ratioMemory is the time constant of the average number of nested calls per run.
	ratioMemory = 5 * time.Second
	// minParentCalls is the number of nested calls from which on their parents are inferred.
	minParentCalls = 20
	// minRecentRuns is the weight of recent runs from which on the average number of nested calls per run is known.
	minRecentRuns = 0.1
	// maxStrayShare and straySlack bound how many nested calls may enter while no run of their parent class is in progress.
	// A run may end at its deadline before its last nested call enters.
	maxStrayShare = 0.05
	straySlack    = 2
	// similarStrays is the multiple of the fewest stray calls up to which another class may be the parent as well.
	similarStrays = 2
)

// decaying is a sum of which older parts count less, with a time constant.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, memory time.Duration, x float64) {
	d.sum = d.value(now, memory) + x
	d.at = now
}

func (d *decaying) value(now time.Time, memory time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/memory.Seconds())
}

// Parents infers which classes make the nested calls that enter at one host, and how many of them a run makes. A run is a
// call that is in progress on the backend server of the host; a nested call can only enter during the run that makes it.
// It is not safe for concurrent use.
type Parents struct {
	runs   map[class.Name]*runStats
	nested map[class.Name]*nestedStats
}

// runStats is what is known of the runs of one class.
type runStats struct {
	inProgress int
	began      decaying
}

// nestedStats is what is known of the nested calls of one class.
type nestedStats struct {
	// recent counts the calls for the average per run, entered those for the inference of parents, and during, by class
	// of the runs, those of entered that entered while such a run was in progress.
	recent  decaying
	entered decaying
	during  map[class.Name]*decaying
}

// NewParents returns an inference without knowledge.
func NewParents() *Parents {
	return &Parents{runs: map[class.Name]*runStats{}, nested: map[class.Name]*nestedStats{}}
}

// RunBegan records that a run begins.
func (p *Parents) RunBegan(now time.Time, name class.Name) {
	s := p.runs[name]
	if s == nil {
		s = &runStats{}
		p.runs[name] = s
	}
	s.inProgress++
	s.began.add(now, ratioMemory, 1)
}

// RunEnded records that a run ends.
func (p *Parents) RunEnded(name class.Name) {
	if s := p.runs[name]; s != nil && s.inProgress > 0 {
		s.inProgress--
	}
}

// NestedEntered records that a nested call enters at this host.
func (p *Parents) NestedEntered(now time.Time, name class.Name) {
	s := p.nested[name]
	if s == nil {
		s = &nestedStats{during: map[class.Name]*decaying{}}
		p.nested[name] = s
	}
	s.recent.add(now, ratioMemory, 1)
	s.entered.add(now, parentMemory, 1)
	for run, stats := range p.runs {
		if stats.inProgress == 0 {
			continue
		}
		if s.during[run] == nil {
			s.during[run] = &decaying{}
		}
		s.during[run].add(now, parentMemory, 1)
	}
}

// Of returns the classes whose runs make the calls of a nested class, or none if that is not known. It returns several if
// they cannot be told apart.
func (p *Parents) Of(now time.Time, nested class.Name) []class.Name {
	s := p.nested[nested]
	if s == nil {
		return nil
	}
	entered := s.entered.value(now, parentMemory)
	if entered < minParentCalls {
		return nil
	}
	strays := map[class.Name]float64{}
	fewest := entered
	for run, during := range s.during {
		strays[run] = max(0, entered-during.value(now, parentMemory))
		fewest = min(fewest, strays[run])
	}
	limit := min(maxStrayShare*entered, similarStrays*fewest) + straySlack
	var parents []class.Name
	for run, count := range strays {
		if count <= limit && run != nested {
			parents = append(parents, run)
		}
	}
	slices.Sort(parents)
	return parents
}

// CallsPerRun returns the average number of calls of a nested class that a run of the given classes makes.
func (p *Parents) CallsPerRun(now time.Time, nested class.Name, parents []class.Name) float64 {
	runs := 0.0
	for _, name := range parents {
		runs += p.runs[name].began.value(now, ratioMemory)
	}
	s := p.nested[nested]
	if s == nil || runs < minRecentRuns {
		return 0
	}
	return s.recent.value(now, ratioMemory) / runs
}
