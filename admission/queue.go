package admission

import (
	"container/heap"
	"time"
)

// queue is a priority queue of jobs: those that returned after their Retry-After first, then by deadline. Removed jobs stay
// in the heap until they reach its top.
type queue struct {
	jobs    deadlineHeap
	removed map[*Job]bool
	live    map[*Job]bool
	// returned is the number of live jobs that returned after their Retry-After.
	returned int
}

func newQueue() *queue {
	return &queue{removed: map[*Job]bool{}, live: map[*Job]bool{}}
}

func (q *queue) push(job *Job) {
	heap.Push(&q.jobs, job)
	q.live[job] = true
	if job.IsReturn {
		q.returned++
	}
}

// forget removes a job from the live ones.
func (q *queue) forget(job *Job) {
	delete(q.live, job)
	if job.IsReturn {
		q.returned--
	}
}

// peek returns the job with the earliest deadline, or nil.
func (q *queue) peek() *Job {
	for len(q.jobs) > 0 {
		job := q.jobs[0]
		if !q.removed[job] {
			return job
		}
		delete(q.removed, job)
		heap.Pop(&q.jobs)
	}
	return nil
}

func (q *queue) pop() *Job {
	job := q.peek()
	if job != nil {
		heap.Pop(&q.jobs)
		q.forget(job)
	}
	return job
}

func (q *queue) remove(job *Job) bool {
	if !q.live[job] {
		return false
	}
	q.forget(job)
	q.removed[job] = true
	return true
}

func (q *queue) len() int { return len(q.live) }

// returns returns the number of jobs that returned after their Retry-After.
func (q *queue) returns() int { return q.returned }

// expire removes and returns the jobs that cannot finish before their deadline if they run for serviceTime.
func (q *queue) expire(now time.Time, serviceTime time.Duration) []Decision {
	var dropped []Decision
	for {
		job := q.peek()
		if job == nil || !now.Add(serviceTime).After(job.Deadline) {
			return dropped
		}
		dropped = append(dropped, Decision{Job: q.pop()})
	}
}

// deadlineHeap implements heap.Interface. At the top is the job with the earliest deadline among those that returned after
// their Retry-After, or among all if there is none.
type deadlineHeap []*Job

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].IsReturn != h[j].IsReturn {
		return h[i].IsReturn
	}
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].ID < h[j].ID
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)   { *h = append(*h, x.(*Job)) }

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
