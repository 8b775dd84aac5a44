package admission

import (
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// baseline is what the baselines share: a queue a class, bounded, and a rule for the next one.
type baseline struct {
	limit   int
	names   []class.Name
	classes map[class.Name]class.Class
	queues  map[class.Name]*queue
	choose  func(*baseline) *queue
	spent   map[class.Name]time.Duration
}

// baselineLimit bounds a baseline's queue, in jobs a class.
const baselineLimit = 1000

func newBaseline(choose func(*baseline) *queue) *baseline {
	return &baseline{
		limit:   baselineLimit,
		classes: map[class.Name]class.Class{},
		queues:  map[class.Name]*queue{},
		choose:  choose,
		spent:   map[class.Name]time.Duration{},
	}
}

// NewFIFO returns the policy that runs jobs in the order of arrival.
func NewFIFO() Policy {
	return newBaseline(func(b *baseline) *queue {
		return b.least(func(x, y class.Name) bool {
			return b.queues[x].peek().Arrived.Before(b.queues[y].peek().Arrived)
		})
	})
}

// NewStrictPriority returns the policy that always runs the most urgent rank that waits.
func NewStrictPriority() Policy {
	return newBaseline(func(b *baseline) *queue {
		return b.least(func(x, y class.Name) bool { return b.classes[x].Rank < b.classes[y].Rank })
	})
}

// NewStaticShares returns the policy that gives each class the same share of the server.
func NewStaticShares() Policy {
	return newBaseline(func(b *baseline) *queue {
		return b.least(func(x, y class.Name) bool { return b.spent[x] < b.spent[y] })
	})
}

// least returns the waiting queue that comes first, or nil.
func (b *baseline) least(before func(x, y class.Name) bool) *queue {
	var best class.Name
	found := false
	for _, name := range b.names {
		if b.queues[name].peek() == nil {
			continue
		}
		if !found || before(name, best) {
			best, found = name, true
		}
	}
	if !found {
		return nil
	}
	return b.queues[best]
}

func (b *baseline) SetClasses(_ time.Time, classes []class.Class) {
	b.names = nil
	for _, c := range classes {
		b.names = append(b.names, c.Name)
		b.classes[c.Name] = c
		if b.queues[c.Name] == nil {
			b.queues[c.Name] = newQueue()
		}
	}
	for name, q := range b.queues {
		if q.len() > 0 && !slices.Contains(b.names, name) {
			b.names = append(b.names, name)
		}
	}
}

func (b *baseline) Offer(_ time.Time, job *Job) bool {
	q := b.queues[job.Class]
	if q == nil || q.len() >= b.limit {
		return false
	}
	q.push(job)
	return true
}

func (b *baseline) Next(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, name := range b.names {
		verdicts = append(verdicts, b.queues[name].expire(now, 0)...)
	}
	q := b.choose(b)
	if q == nil {
		return verdicts
	}
	job := q.pop()
	b.level(job.Class)
	return append(verdicts, Verdict{Job: job, Run: true})
}

// level keeps a class that was away from claiming the time that the others used meanwhile.
func (b *baseline) level(chosen class.Name) {
	for _, name := range b.names {
		if name != chosen && b.queues[name].len() == 0 {
			b.spent[name] = max(b.spent[name], b.spent[chosen])
		}
	}
}

func (b *baseline) Done(_ time.Time, job *Job, took time.Duration) { b.spent[job.Class] += took }

func (b *baseline) Remove(job *Job) bool {
	q := b.queues[job.Class]
	return q != nil && q.remove(job)
}

func (b *baseline) Waiting() int {
	waiting := 0
	for _, q := range b.queues {
		waiting += q.len()
	}
	return waiting
}

func (b *baseline) Know(_ time.Time, c *class.Class) {
	if b.queues[c.Name] == nil {
		b.names = append(b.names, c.Name)
		b.classes[c.Name] = *c
		b.queues[c.Name] = newQueue()
	}
}

func (b *baseline) Backlog() time.Duration { return time.Duration(b.Waiting()) * firstService }
