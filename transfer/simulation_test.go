package transfer_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/transfer"
)

// simulatedLink is one direction of the link of a host. It sends messages in order, at a fixed rate.
type simulatedLink struct {
	bytesPerSecond float64
	mu             sync.Mutex
	freeAt         time.Time
}

// send waits until a message has passed the link, and returns how long that took.
func (l *simulatedLink) send(bytes int) time.Duration {
	now := time.Now()
	l.mu.Lock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	took := l.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(took)
	return took
}

// linkedHost is a host with a simulated link and the gate in front of it.
type linkedHost struct {
	link simulatedLink
	gate *transfer.Gate
}

func newLinkedHosts(count int, mbps float64) []*linkedHost {
	var hosts []*linkedHost
	for i := range count {
		hosts = append(hosts, &linkedHost{
			link: simulatedLink{bytesPerSecond: mbps * 1e6 / 8},
			gate: transfer.NewGate(mbps, func(transfer.Decision) {}, clockwork.NewRealClock(), uint64(i)),
		})
	}
	return hosts
}

// arrivals calls f in a goroutine for each of the Poisson arrivals in a time, and waits for all of them.
func arrivals(perSecond float64, length time.Duration, seed uint64, f func(i int, random *rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls sync.WaitGroup
	for start, i := time.Now(), 0; time.Since(start) < length; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		own := rand.New(rand.NewPCG(seed, uint64(i)))
		calls.Go(func() { f(i, own) })
	}
	calls.Wait()
}

const (
	oneWay    = 900 * time.Microsecond
	maxOffers = 4
	smallBody = 1 << 10
)

// upload offers a body to up to four hosts, and sends it to the first that reserves its place. It reports whether one did.
func upload(hosts []*linkedHost, random *rand.Rand, i, bytes int, leaves bool) bool {
	for _, h := range random.Perm(len(hosts))[:maxOffers] {
		host, id := hosts[h], class.RequestID(strconv.Itoa(i))
		time.Sleep(oneWay)
		token, _ := host.gate.Reserve("enrol-upload", id, bytes)
		time.Sleep(oneWay)
		if token == 0 {
			continue
		}
		if leaves {
			return false
		}
		time.Sleep(oneWay)
		arriving := host.gate.Begin("enrol-upload", id, token)
		host.link.send(bytes)
		arriving.End(bytes)
		return true
	}
	return false
}

// TestUploadsDoNotDelayMoreUrgentCalls guards against uploads that fill the links of their servers' hosts. Calls to these
// hosts arrived with a median delay of 1 s, and roster-fetch failed. Uploads get what is left, and callers that leave after
// their reservation take nothing for long.
func TestUploadsDoNotDelayMoreUrgentCalls(t *testing.T) {
	const size, length = 60_000, 20 * time.Second
	for name, c := range map[string]struct {
		load, leaving float64
		minCompleted  float64
	}{
		"usual":            {load: 1, minCompleted: 0.99},
		"peak":             {load: 2.4, minCompleted: 0.55},
		"peak and leaving": {load: 2.4, leaving: 0.1, minCompleted: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				hosts := newLinkedHosts(9, 10)
				var mu sync.Mutex
				var delays []time.Duration
				offered, completed := 0, 0
				var load sync.WaitGroup
				load.Go(func() {
					arrivals(83*c.load, length, 1, func(i int, random *rand.Rand) {
						isCompleted := upload(hosts, random, i, size, random.Float64() < c.leaving)
						mu.Lock()
						defer mu.Unlock()
						offered++
						if isCompleted {
							completed++
						}
					})
				})
				load.Go(func() {
					arrivals(220, length, 2, func(_ int, random *rand.Rand) {
						took := hosts[random.IntN(len(hosts))].link.send(smallBody)
						mu.Lock()
						defer mu.Unlock()
						delays = append(delays, took)
					})
				})
				load.Wait()
				slices.Sort(delays)
				median, p99 := delays[len(delays)/2], delays[len(delays)*99/100]
				t.Logf("%d of %d uploads; delay of small messages: median %v, 99%% %v", completed, offered, median, p99)
				g.Expect(median).To(gomega.BeNumerically("<", 50*time.Millisecond))
				g.Expect(p99).To(gomega.BeNumerically("<", 150*time.Millisecond))
				g.Expect(float64(completed)).To(gomega.BeNumerically(">", c.minCompleted*float64(offered)))
				time.Sleep(300 * time.Millisecond)
				for _, h := range hosts {
					g.Expect(h.gate.Reservations()).To(gomega.BeZero(), "no reservation leaks")
				}
			})
		})
	}
}

// TestDownloadsDoNotDelayOtherResponses guards against large responses that fill the links of the hosts that send them.
func TestDownloadsDoNotDelayOtherResponses(t *testing.T) {
	const size, length = 90_000, 20 * time.Second
	for name, c := range map[string]struct{ load, minCompleted float64 }{
		"usual": {load: 1, minCompleted: 0.97},
		"peak":  {load: 1.55, minCompleted: 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				hosts := newLinkedHosts(13, 17)
				var mu sync.Mutex
				var delays []time.Duration
				offered, completed := 0, 0
				var load sync.WaitGroup
				load.Go(func() {
					arrivals(167*c.load, length, 3, func(i int, random *rand.Rand) {
						isCompleted := false
						for _, h := range random.Perm(len(hosts))[:maxOffers] {
							time.Sleep(2 * oneWay)
							download, retryAfter := hosts[h].gate.Admit("archive-export", class.RequestID(strconv.Itoa(i)))
							if retryAfter > 0 {
								continue
							}
							time.Sleep(time.Duration((0.5 + 0.5*random.ExpFloat64()) * float64(94*time.Millisecond)))
							time.Sleep(download.End(size, true, time.Second))
							hosts[h].link.send(size)
							isCompleted = true
							break
						}
						mu.Lock()
						defer mu.Unlock()
						offered++
						if isCompleted {
							completed++
						}
					})
				})
				load.Go(func() {
					arrivals(800, length, 4, func(_ int, random *rand.Rand) {
						took := hosts[random.IntN(len(hosts))].link.send(smallBody)
						mu.Lock()
						defer mu.Unlock()
						delays = append(delays, took)
					})
				})
				load.Wait()
				slices.Sort(delays)
				median, p99 := delays[len(delays)/2], delays[len(delays)*99/100]
				t.Logf("%d of %d downloads; delay of small messages: median %v, 99%% %v", completed, offered, median, p99)
				g.Expect(median).To(gomega.BeNumerically("<", 50*time.Millisecond))
				g.Expect(p99).To(gomega.BeNumerically("<", 100*time.Millisecond))
				g.Expect(float64(completed)).To(gomega.BeNumerically(">", c.minCompleted*float64(offered)))
			})
		})
	}
}
