package admission

import (
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/class"
)

// baselinePolicy is a simple policy to compare TargetPolicy with: one bounded queue per class, and a function that
// selects the queue to serve next.
type baselinePolicy struct {
	maxQueueLength int
	names          []class.Name
	classes        map[class.Name]class.Class
	queues         map[class.Name]*queue
	selectQueue    func(*baselinePolicy) *queue
	serverTime     map[class.Name]time.Duration
}

// baselineMaxQueueLength bounds each queue of a baseline policy, in jobs.
const baselineMaxQueueLength = 1000

func newBaseline(selectQueue func(*baselinePolicy) *queue) *baselinePolicy {
	return &baselinePolicy{
		maxQueueLength: baselineMaxQueueLength,
		classes:        map[class.Name]class.Class{},
		queues:         map[class.Name]*queue{},
		selectQueue:    selectQueue,
		serverTime:     map[class.Name]time.Duration{},
	}
}

// NewFIFO returns a policy that serves classes in the order in which their next jobs arrived.
func NewFIFO() Policy {
	return newBaseline(func(b *baselinePolicy) *queue {
		return b.firstWaiting(func(x, y class.Name) bool {
			return b.queues[x].peek().Arrived.Before(b.queues[y].peek().Arrived)
		})
	})
}

// NewStrictPriority returns a policy that always runs a queued job of the most urgent rank.
func NewStrictPriority() Policy {
	return newBaseline(func(b *baselinePolicy) *queue {
		return b.firstWaiting(func(x, y class.Name) bool { return b.classes[x].Rank < b.classes[y].Rank })
	})
}

// NewStaticShares returns a policy that gives each class an equal share of the server's time.
func NewStaticShares() Policy {
	return newBaseline(func(b *baselinePolicy) *queue {
		return b.firstWaiting(func(x, y class.Name) bool { return b.serverTime[x] < b.serverTime[y] })
	})
}

// firstWaiting returns the queue that before orders first among those that are not empty, or nil.
func (b *baselinePolicy) firstWaiting(before func(x, y class.Name) bool) *queue {
	var first class.Name
	found := false
	for _, name := range b.names {
		if b.queues[name].peek() == nil {
			continue
		}
		if !found || before(name, first) {
			first, found = name, true
		}
	}
	if !found {
		return nil
	}
	return b.queues[first]
}

func (b *baselinePolicy) SetClasses(_ time.Time, classes []class.Class) {
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

func (b *baselinePolicy) Offer(_ time.Time, job *Job) bool {
	q := b.queues[job.Class]
	if q == nil || q.len() >= b.maxQueueLength {
		return false
	}
	q.push(job)
	return true
}

func (b *baselinePolicy) Next(now time.Time) []Decision {
	var decisions []Decision
	for _, name := range b.names {
		decisions = append(decisions, b.queues[name].expire(now, 0)...)
	}
	q := b.selectQueue(b)
	if q == nil {
		return decisions
	}
	job := q.pop()
	b.levelIdleClasses(job.Class)
	return append(decisions, Decision{Job: job, Run: true})
}

// levelIdleClasses raises the recorded server time of idle classes to that of the chosen one, so that a class that had
// no calls for a while does not catch up on the time that the others used meanwhile.
func (b *baselinePolicy) levelIdleClasses(chosen class.Name) {
	for _, name := range b.names {
		if name != chosen && b.queues[name].len() == 0 {
			b.serverTime[name] = max(b.serverTime[name], b.serverTime[chosen])
		}
	}
}

func (b *baselinePolicy) Done(_ time.Time, job *Job, runTime time.Duration) {
	b.serverTime[job.Class] += runTime
}

func (b *baselinePolicy) Remove(job *Job) bool {
	q := b.queues[job.Class]
	return q != nil && q.remove(job)
}

func (b *baselinePolicy) Waiting() int {
	waiting := 0
	for _, q := range b.queues {
		waiting += q.len()
	}
	return waiting
}

func (b *baselinePolicy) UpdateClass(_ time.Time, c *class.Class) {
	if b.queues[c.Name] == nil {
		b.names = append(b.names, c.Name)
		b.classes[c.Name] = *c
		b.queues[c.Name] = newQueue()
	}
}

func (b *baselinePolicy) Backlog() time.Duration {
	return time.Duration(b.Waiting()) * initialServiceTime
}

func (b *baselinePolicy) ServiceTime(class.Name) time.Duration { return initialServiceTime }
