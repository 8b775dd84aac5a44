package caller

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets per doubling of an answer time. Quantiles are exact to 19%.
	bucketsPerDoubling = 4
	// shortestAnswer is the upper end of the first bucket, and answerBuckets reaches to 65 s.
	shortestAnswer = time.Millisecond
	answerBuckets  = 16 * bucketsPerDoubling
	// minAnswers is the number of answers from which on quantiles are known, and maxAnswers the number at which all counts
	// are halved, so that the quantiles follow the load within some seconds.
	minAnswers = 50
	maxAnswers = 400
)

// answerTimes measures how long the attempts of each class take that are answered. It is safe for concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	counts map[offerKey]*answerCounts
}

type answerCounts struct {
	total   float64
	buckets [answerBuckets]float64
}

func newAnswerTimes() *answerTimes { return &answerTimes{counts: map[offerKey]*answerCounts{}} }

// record adds the time of an answered attempt.
func (a *answerTimes) record(key offerKey, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts[key]
	if c == nil {
		c = &answerCounts{}
		a.counts[key] = c
	}
	if c.total >= maxAnswers {
		c.total /= 2
		for i := range c.buckets {
			c.buckets[i] /= 2
		}
	}
	doublings := math.Log2(max(1, float64(took)/float64(shortestAnswer)))
	c.buckets[min(answerBuckets-1, int(math.Ceil(bucketsPerDoubling*doublings)))]++
	c.total++
}

// quantile returns the time within which the given share of the attempts of a class are answered, or zero if it is not
// known.
func (a *answerTimes) quantile(key offerKey, share float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts[key]
	if c == nil || c.total < minAnswers {
		return 0
	}
	seen := 0.0
	for i, count := range c.buckets {
		if seen += count; seen >= share*c.total {
			return time.Duration(float64(shortestAnswer) * math.Exp2(float64(i)/bucketsPerDoubling))
		}
	}
	return 0
}

// prune forgets the services that are not in the routes.
func (a *answerTimes) prune(routes Routes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key := range a.counts {
		if routes[key.service] == nil {
			delete(a.counts, key)
		}
	}
}
