package placement_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkrelay/skylarkrelay/capacity"
	"github.com/skylarkrelay/skylarkrelay/class"
	"github.com/skylarkrelay/skylarkrelay/keyspace"
	"github.com/skylarkrelay/skylarkrelay/placement"
)

const (
	simTick         = 50 * time.Millisecond
	simLoadEvery    = 250 * time.Millisecond
	simSmoothing    = 0.25
	simKeySmoothing = 0.1
	// simWindow is the time that simKeySmoothing covers.
	simWindow = 4750 * time.Millisecond
	simClass  = class.Name("live-reading")
)

// simScenario describes the servers and the load of a levelling simulation.
type simScenario struct {
	speeds  []float64
	servers int
	slots   float64
	rate    float64
	runTime time.Duration
	// swing and period describe the oscillation of the rate.
	swing  float64
	period time.Duration
	// hotEvery is the interval at which other keys become hot, and hotShare their share of the calls.
	hotEvery time.Duration
	hotShare float64
	// slowShare is the share of the time that a server is three times slower, for 400 ms each.
	slowShare float64
}

// simServer is one server with what its daemon knows.
type simServer struct {
	speed     float64
	slowUntil time.Duration
	load      float64
	demand    float64
	keyDemand map[class.Key]float64
	// keyLoad is the load by key, smoothed for about a second. keyShape is smoothed longer.
	keyLoad   map[class.Key]float64
	keyShape  map[class.Key]float64
	meter     *capacity.Meter
	imbalance capacity.Imbalance
	announced float64
	runTimes  capacity.RunTimes
	moving    []placement.Move
	movesEnd  time.Duration
	offset    time.Duration
}

type simCall struct {
	server int
	key    class.Key
	run    time.Duration
}

// simulation runs the load on the servers without a network. Moving keys stay with their owner for up to a second.
type simulation struct {
	simScenario
	random    *rand.Rand
	now       time.Duration
	owner     [class.KeyCount]int
	hot       []class.Key
	all       []*simServer
	ends      map[time.Duration][]simCall
	estimator *capacity.Estimator[int]
	moved     int
}

func newSimulation(scenario simScenario, seed uint64) *simulation {
	s := &simulation{
		simScenario: scenario, random: rand.New(rand.NewPCG(seed, 1)), ends: map[time.Duration][]simCall{},
		estimator: capacity.NewEstimator[int](),
	}
	servers := make([]placement.Server, scenario.servers)
	for i := range servers {
		servers[i].Capacity = 1
		s.all = append(s.all, &simServer{
			speed: scenario.speeds[i%len(scenario.speeds)], meter: capacity.NewMeter(),
			keyDemand: map[class.Key]float64{}, keyLoad: map[class.Key]float64{}, keyShape: map[class.Key]float64{},
			offset: simTick * time.Duration(s.random.IntN(20)),
		})
	}
	owners := placement.DistributeCoarsely(servers)
	for span, owner := range owners.Runs() {
		for key := range span.Size() {
			s.owner[int(span.From)+key] = owner
		}
	}
	s.chooseHotKeys()
	return s
}

func (s *simulation) chooseHotKeys() {
	s.hot = s.hot[:0]
	for range 40 {
		s.hot = append(s.hot, class.Key(s.random.IntN(class.KeyCount)))
	}
}

func (s *simulation) drawKey() class.Key {
	if s.random.Float64() < s.hotShare {
		return s.hot[min(s.random.IntN(len(s.hot)), s.random.IntN(len(s.hot)))]
	}
	return class.Key(s.random.IntN(class.KeyCount))
}

// step advances the simulation by a tick.
func (s *simulation) step() {
	s.now += simTick
	if s.hotEvery > 0 && s.now%s.hotEvery == 0 {
		s.chooseHotKeys()
	}
	for _, server := range s.all {
		if s.now >= server.slowUntil && s.random.Float64() < s.slowShare*simTick.Seconds()/0.4 {
			server.slowUntil = s.now + 400*time.Millisecond
		}
	}
	rate := s.rate * (1 + s.swing*math.Sin(2*math.Pi*s.now.Seconds()/s.period.Seconds()))
	for range s.poisson(rate * simTick.Seconds()) {
		s.start(s.drawKey())
	}
	for _, c := range s.ends[s.now] {
		server := s.all[c.server]
		server.demand += c.run.Seconds()
		server.keyDemand[c.key] += c.run.Seconds()
		server.meter.Observe(simTime(s.now), simClass, c.run)
	}
	delete(s.ends, s.now)
	for i, server := range s.all {
		s.control(i, server)
	}
}

func simTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// poisson draws the number of arrivals in an interval, with normal noise.
func (s *simulation) poisson(mean float64) int {
	return int(max(0, math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
}

func (s *simulation) start(key class.Key) {
	server := s.all[s.owner[key]]
	work := s.runTime.Seconds() * math.Exp(0.5*s.random.NormFloat64()-0.125)
	run := work / server.speed
	if s.now < server.slowUntil {
		run += 2 * min(run, (server.slowUntil-s.now).Seconds())
	}
	if s.random.Float64() < 0.7 {
		run += 0.035 // a nested call
	}
	end := (s.now + time.Duration(run*float64(time.Second))).Truncate(simTick) + simTick
	s.ends[end] = append(s.ends[end], simCall{
		server: s.owner[key], key: key, run: time.Duration(run * float64(time.Second)),
	})
}

// control does what the daemon beside a server does: it measures, announces and hands over keys.
func (s *simulation) control(index int, server *simServer) {
	if s.now%simLoadEvery == 0 {
		server.load += simSmoothing * (server.demand/simLoadEvery.Seconds() - server.load)
		for key := range server.keyLoad {
			server.keyLoad[key] *= 1 - simSmoothing
			server.keyShape[key] *= 1 - simKeySmoothing
		}
		for key, demand := range server.keyDemand {
			server.keyLoad[key] += simSmoothing * demand / simLoadEvery.Seconds()
			server.keyShape[key] += simKeySmoothing * demand / simLoadEvery.Seconds()
		}
		server.demand = 0
		clear(server.keyDemand)
	}
	if (s.now+server.offset)%time.Second == 0 {
		server.announced, server.runTimes = server.load, server.meter.RunTimes(simTime(s.now))
	}
	if index == 0 && s.now%simLoadEvery == 0 {
		var reports []capacity.Report[int]
		for i, other := range s.all {
			reports = append(reports, capacity.Report[int]{Host: i, RunTimes: other.runTimes})
		}
		s.estimator.Update(simTime(s.now), reports)
	}
	if len(server.moving) > 0 && s.now >= server.movesEnd {
		for _, move := range server.moving {
			for key := range move.Span.Size() {
				s.owner[int(move.Span.From)+key] = move.To
			}
		}
		server.moving = nil
	}
	if (s.now+server.offset)%(400*time.Millisecond) == 0 && len(server.moving) == 0 {
		s.level(index, server)
	}
}

func (s *simulation) level(index int, server *simServer) {
	spans := s.spansOf(index, server)
	servers, keys := make([]placement.Server, len(s.all)), 0
	for _, span := range spans {
		servers[index].Load += span.Load
		keys += span.Span.Size()
	}
	previous := -1
	for _, owner := range s.owner {
		servers[owner].Keys++
		if owner != previous {
			servers[owner].Spans++
		}
		previous = owner
	}
	for i, other := range s.all {
		servers[i].Slots = s.slots
		servers[i].Capacity = s.slots * s.estimator.Capacity(i)
		if i != index {
			servers[i].Load = other.announced
		}
	}
	own, mean := servers[index].Load/s.slots, placement.Utilisation(servers)
	server.imbalance.Observe(own, mean, keys)
	share := server.imbalance.ShareToMove(own, mean)
	if share == 0 {
		return
	}
	quantum := s.shapeLevel(index, server) * s.runTime.Seconds() / server.speed / simWindow.Seconds()
	moves, moved := placement.Level(index, spans, servers, share, quantum, s.random)
	server.imbalance.Moved(moved)
	for _, move := range moves {
		s.moved += move.Span.Size()
	}
	server.moving, server.movesEnd = moves, s.now+time.Duration(300+s.random.IntN(14)*50)*time.Millisecond
}

// spansOf returns the spans of a server with their measured load. Spans with a high load are cut after busy keys.
func (s *simulation) spansOf(index int, server *simServer) []placement.LoadedSpan {
	level := s.shapeLevel(index, server)
	var spans []placement.LoadedSpan
	for from := 0; from < class.KeyCount; {
		to := from
		for to < class.KeyCount && s.owner[to] == s.owner[from] {
			to++
		}
		if s.owner[from] == index {
			parts := s.split(server, class.Key(from), class.Key(to-1), level)
			if from > 0 {
				parts[0].Neighbour = s.owner[from-1] + 1
			}
			spans = append(spans, parts...)
		}
		from = to
	}
	return spans
}

func (s *simulation) split(server *simServer, from, to class.Key, level float64) []placement.LoadedSpan {
	total := 0.0
	for key := int(from); key <= int(to); key++ {
		total += level * server.keyShape[class.Key(key)]
	}
	if total < 0.25 {
		return []placement.LoadedSpan{{Span: keyspace.Span{From: from, To: to}, Load: total}}
	}
	var spans []placement.LoadedSpan
	part := placement.LoadedSpan{Span: keyspace.Span{From: from}}
	for key := int(from); key < int(to); key++ {
		part.Load += level * server.keyShape[class.Key(key)]
		if part.Load >= total/4 {
			part.Span.To = class.Key(key)
			spans = append(spans, part)
			part = placement.LoadedSpan{Span: keyspace.Span{From: class.Key(key + 1)}}
		}
	}
	part.Load += level * server.keyShape[to]
	part.Span.To = to
	return append(spans, part)
}

// utilisations returns the expected utilisation of each server at the present rate, without noise.
func (s *simulation) utilisations() []float64 {
	rate := s.rate * (1 + s.swing*math.Sin(2*math.Pi*s.now.Seconds()/s.period.Seconds()))
	perKey := rate * (1 - s.hotShare) / class.KeyCount
	rates := make([]float64, len(s.all))
	for _, owner := range s.owner {
		rates[owner] += perKey
	}
	n := float64(len(s.hot))
	for i, key := range s.hot {
		share := (2*(n-float64(i)) - 1) / (n * n)
		rates[s.owner[key]] += rate * s.hotShare * share
	}
	found := make([]float64, len(s.all))
	for i, server := range s.all {
		slow := 1 + 2*s.slowShare
		found[i] = rates[i] * (s.runTime.Seconds()*slow/server.speed + 0.7*0.035) / s.slots
	}
	return found
}

// maxSpans returns the largest number of spans of a server.
func (s *simulation) maxSpans() int {
	spans, previous := make([]int, len(s.all)), -1
	for _, owner := range s.owner {
		if owner != previous {
			spans[owner]++
		}
		previous = owner
	}
	return slices.Max(spans)
}

// shapeLevel returns the load of the server's keys in relation to the shape.
func (s *simulation) shapeLevel(index int, server *simServer) float64 {
	load, shape := 0.0, 0.0
	for key := range server.keyLoad {
		if s.owner[key] == index {
			load += server.keyLoad[key]
			shape += server.keyShape[key]
		}
	}
	return load / max(shape, 0.001)
}
