package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ at time.Time }

func newClock() *fakeClock { return &fakeClock{at: time.Unix(1000, 0)} }

func (c *fakeClock) now() time.Time          { return c.at }
func (c *fakeClock) advance(d time.Duration) { c.at = c.at.Add(d) }

// simParams are the parameters of a simulation of engines behind several
// entries.
type simParams struct {
	seed        uint64
	entries     int
	engines     int
	cacheBlocks int
	// retainedEvents is the number of cache events that an engine retains.
	retainedEvents int
	// pollEvery is the interval at which each entry requests events from each
	// engine. Answers arrive after pollDelay; lostPollFraction is the fraction
	// of answers whose events are lost.
	pollEvery        time.Duration
	pollDelay        time.Duration
	lostPollFraction float64
	// requestsPerSecond is the mean rate of a Poisson process.
	requestsPerSecond float64
	duration          time.Duration
	// reports is the number of shared reports, drawn from a Zipf distribution.
	reports        int
	reportBlocks   int
	answerTokens   int
	urgentFraction float64
	opts           Options
}

const (
	simPrefillRate = 8000.0
	simDecodeRate  = 40.0
	simBatch       = 16
)

// simResult holds the results of a simulation.
type simResult struct {
	requests  int
	prefilled int
	// recomputed counts prefilled tokens that some engine had prefilled before.
	recomputed int
	// estimateError is the mean absolute difference between the expected and
	// the actual fraction of the prompt in the cache.
	estimateError float64
	ttft          []time.Duration
	urgentTTFT    []time.Duration
	// engines counts requests by engine.
	engines map[string]int
	refused int
	// probes counts the requests for cache events.
	probes int
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simEngine simulates an engine that prefills one prompt at a time and decodes
// a batch.
type simEngine struct {
	id      string
	cache   *simplelru.LRU[uint64, struct{}]
	events  []endpoint.CacheEvent
	freeAt  time.Time
	queued  int
	running int
	waiting []func()
}

func (e *simEngine) load() endpoint.Load {
	return endpoint.Load{
		Running: e.running, Waiting: len(e.waiting), QueuedPromptTokens: e.queued,
		PrefillRate: simPrefillRate, DecodeRate: simDecodeRate, MaxRunning: simBatch,
	}
}

// cachedBlocks returns the number of cached blocks at the start of a prompt.
func (e *simEngine) cachedBlocks(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := e.cache.Get(h); !ok {
			return i
		}
	}
	return len(hashes)
}

// fill adds the blocks of a prompt to the cache and records the cache events.
func (e *simEngine) fill(hashes []uint64) {
	for _, h := range hashes {
		if !e.cache.Contains(h) {
			e.events = append(e.events, endpoint.CacheEvent{Hash: h})
		}
		e.cache.Add(h, struct{}{})
	}
}

// sim is a discrete-event simulation.
type sim struct {
	simParams
	clock           *fakeClock
	queue           simQueue
	seq             int
	rng             *rand.Rand
	fleets          []*Fleet
	engines         map[string]*simEngine
	prefilledBlocks map[uint64]bool
	zipf            *rand.Zipf
	result          simResult
	errorSum        float64
	uniquePrompts   uint64
}

func newSim(p simParams) *sim {
	s := &sim{
		simParams: p, clock: newClock(), rng: rand.New(rand.NewPCG(p.seed, 1)),
		engines: map[string]*simEngine{}, prefilledBlocks: map[uint64]bool{},
	}
	s.result.engines = map[string]int{}
	s.zipf = rand.NewZipf(s.rng, 1.1, 1, uint64(p.reports-1))
	hosts := testHosts(p.engines)
	for i := range p.engines {
		e := &simEngine{id: "e" + strconv.Itoa(i), freeAt: s.clock.at}
		e.cache, _ = simplelru.NewLRU(p.cacheBlocks, func(h uint64, _ struct{}) {
			e.events = append(e.events, endpoint.CacheEvent{Hash: h, Evicted: true})
		})
		s.engines[e.id] = e
	}
	for i := range p.entries {
		opts := p.opts
		opts.Now = s.clock.now
		opts.Seed = uint64(i)
		f := NewFleet(opts)
		f.SetHosts(hosts)
		s.fleets = append(s.fleets, f)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.clock.at.Add(d), s.seq, run})
}

func (s *sim) run() simResult {
	end := s.clock.at.Add(s.duration)
	s.after(0, s.arrive)
	for i := range s.simParams.engines {
		for _, f := range s.fleets {
			if s.pollEvery > 0 {
				s.after(time.Duration(s.rng.Int64N(int64(s.pollEvery))), func() { s.poll(f, s.engines["e"+strconv.Itoa(i)], end) })
			}
		}
	}
	for len(s.queue) > 0 {
		ev := heap.Pop(&s.queue).(simEvent)
		s.clock.at = ev.at
		if ev.at.After(end) {
			break
		}
		ev.run()
	}
	s.result.estimateError = s.errorSum / float64(max(1, s.result.requests))
	return s.result
}

// poll requests the cache events of an engine, as the probes of an entry do.
func (s *sim) poll(f *Fleet, e *simEngine, end time.Time) {
	requestedFrom := f.EventsFrom(e.id)
	first := max(requestedFrom, uint64(max(0, len(e.events)-s.retainedEvents)))
	answer := endpoint.CacheEvents{First: first, Next: uint64(len(e.events))}
	answer.Events = append(answer.Events, e.events[first:]...)
	if s.rng.Float64() < s.lostPollFraction {
		answer.First, answer.Events = answer.Next, nil
	}
	s.result.probes++
	s.after(s.pollDelay, func() { f.ApplyCacheEvents(e.id, requestedFrom, answer) })
	s.after(s.pollEvery, func() { s.poll(f, e, end) })
}

// arrive chooses an endpoint for one request and schedules the next arrival.
func (s *sim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.requestsPerSecond*float64(time.Second)), s.arrive)
	report := promptHashes(s.zipf.Uint64()+1, s.reportBlocks)
	s.uniquePrompts++
	hashes := append(report, promptHashes(1<<30+s.uniquePrompts, 2)...)
	req := Request{
		Customer: "c", Model: testModel, Version: testVersion, Hashes: hashes,
		PromptTokens: len(hashes) * prefix.BlockTokens, MaxTokens: s.answerTokens,
		Urgency: template.UrgencyPatient, Deadline: 10 * time.Second,
	}
	if s.rng.Float64() < s.urgentFraction {
		req.Hashes, req.PromptTokens = hashes[len(hashes)-1:], prefix.BlockTokens
		req.Urgency, req.Deadline = template.UrgencyUrgent, 460*time.Millisecond
	}
	f := s.fleets[s.rng.IntN(len(s.fleets))]
	c, err := f.Choose(req)
	if err != nil {
		s.result.refused++
		return
	}
	s.result.requests++
	s.result.engines[c.Endpoint.ID]++
	s.start(f, c, req)
}

// start starts a request on its engine, or queues it while the batch is full.
func (s *sim) start(f *Fleet, c Choice, req Request) {
	e, arrived := s.engines[c.Endpoint.ID], s.clock.at
	begin := func() {
		e.running++
		blocks := e.cachedBlocks(req.Hashes)
		s.count(c, req, blocks)
		uncached := req.PromptTokens - blocks*prefix.BlockTokens
		e.queued += uncached
		e.freeAt = later(e.freeAt, s.clock.at).Add(time.Duration(float64(uncached) / simPrefillRate * float64(time.Second)))
		s.after(e.freeAt.Sub(s.clock.at), func() {
			e.queued -= uncached
			e.fill(req.Hashes)
			ttft := s.clock.at.Sub(arrived)
			s.result.ttft = append(s.result.ttft, ttft)
			if req.Urgency == template.UrgencyUrgent {
				s.result.urgentTTFT = append(s.result.urgentTTFT, ttft)
			}
			load := e.load()
			f.Started(c, endpoint.Frame{CachedTokens: blocks * prefix.BlockTokens, Load: &load})
			s.after(time.Duration(float64(s.answerTokens)/simDecodeRate*float64(time.Second)), func() {
				e.running--
				f.Progress(c, e.load())
				f.Done(c, Outcome{GeneratedTokens: s.answerTokens})
				if len(e.waiting) > 0 {
					next := e.waiting[0]
					e.waiting = e.waiting[1:]
					next()
				}
			})
		})
	}
	if e.running >= simBatch {
		e.waiting = append(e.waiting, begin)
		return
	}
	begin()
}

// count records the cached fraction and the recomputed tokens of a request.
func (s *sim) count(c Choice, req Request, blocks int) {
	found := float64(blocks*prefix.BlockTokens) / float64(req.PromptTokens)
	s.errorSum += math.Abs(float64(c.CachedTokens)/float64(req.PromptTokens) - found)
	for _, h := range req.Hashes[blocks:] {
		s.result.prefilled += prefix.BlockTokens
		if s.prefilledBlocks[h] {
			s.result.recomputed += prefix.BlockTokens
		}
		s.prefilledBlocks[h] = true
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
