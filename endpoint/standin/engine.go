// Package standin implements the interfaces of package endpoint in memory: a
// simulated model engine and a plain service. They are for tests and for local
// deployments, and can be served over HTTP. Faults can be switched on while
// they run.
package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/sendonce"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// EngineConfig configures an Engine. Rates are in tokens per second.
type EngineConfig struct {
	Model   string
	Version string
	// PrefillRate is the rate of the whole engine, DecodeRate that of each
	// stream.
	PrefillRate float64
	DecodeRate  float64
	// MaxRunning is the batch size.
	MaxRunning int
	// MaxWaiting bounds the streams that wait for a place in the batch.
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache, in blocks of
	// prefix.BlockTokens.
	CacheBlocks int
	// KVBytesPerToken and KVBandwidth (bytes per second) determine the
	// duration of the transfer of an exported KV cache.
	KVBytesPerToken int64
	KVBandwidth     float64
	// LoadTime is the time that the engine takes to load a model version.
	LoadTime time.Duration
	// Retention is the time for which clients can attach to a finished
	// stream, and for which exported and imported KV caches are retained.
	Retention time.Duration
	// LoadLag and EventLag delay the reports of loads and cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventRing is the number of most recent cache events that are retained.
	EventRing int
	// ChecksFence refuses orders with an old fencing token.
	ChecksFence bool
	// ColdStart starts the engine without its model and loads it first.
	ColdStart bool
	// Addr is the engine's "ip:port", used as endpoint.KV.Source.
	Addr string
	// Dial connects to other engines for imports; nil dials over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Seed seeds the random faults.
	Seed uint64
}

// withDefaults returns c with defaults for the fields that are not set.
func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.PrefillRate, 8000)
	setDefault(&c.DecodeRate, 50)
	setDefault(&c.MaxRunning, 32)
	setDefault(&c.MaxWaiting, 1024)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.KVBytesPerToken, 128<<10)
	setDefault(&c.KVBandwidth, 1<<30)
	setDefault(&c.LoadTime, 10*time.Second)
	setDefault(&c.Retention, 5*time.Minute)
	setDefault(&c.EventRing, 8192)
	return c
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// Engine simulates a model engine in memory. It batches continuously, runs one
// prefill at a time, and decodes each running stream at a fixed rate. No
// goroutine runs per stream: the tokens generated so far are computed from the
// time at which decoding began. It is safe for concurrent use and works under
// testing/synctest.
type Engine struct {
	cfg         EngineConfig
	incarnation string
	transport   *sendonce.Transport

	mu     sync.Mutex
	faults EngineFaults
	// faultsChanged is closed and replaced whenever the faults change.
	faultsChanged chan struct{}
	rng           *rand.Rand
	crashed       bool
	leaving       bool
	role          string
	fence         uint64
	loaded        []endpoint.LoadedModel
	loading       []endpoint.LoadedModel
	timers        map[*time.Timer]struct{}

	streams    map[string]*stream
	lastStream int
	waiting    queue
	prefills   queue
	prefilling *stream
	running    int
	cache      *prefixCache
	loads      loadHistory

	kv       kvStore
	attempts []*Attempt
	totals   Totals
}

// NewEngine returns a running engine. Close must be called to stop its timers.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:           cfg,
		incarnation:   uuid.NewString(),
		transport:     sendonce.New(cfg.Dial),
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		timers:        make(map[*time.Timer]struct{}),
		streams:       make(map[string]*stream),
		faultsChanged: make(chan struct{}),
		kv:            newKVStore(),
	}
	e.cache = newPrefixCache(cfg.CacheBlocks, cfg.EventRing)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked(cfg.ColdStart)
	return e
}

// Generate implements endpoint.Engine.
func (e *Engine) Generate(ctx context.Context, r endpoint.GenerateRequest) (endpoint.Stream, error) {
	if err := e.beginCall(ctx); err != nil {
		return nil, err
	}
	s := newStream(r)
	if err := s.checkResume(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, crashedError()
	}
	if err := e.admitLocked(s); err != nil {
		return nil, err
	}
	e.acceptLocked(s)
	return &reader{engine: e, stream: s, next: r.ResumeTokens, firstFrame: true}, nil
}

// admitLocked returns an error if the engine can't serve the stream.
func (e *Engine) admitLocked(s *stream) error {
	r := s.request
	if !slices.Contains(e.loaded, endpoint.LoadedModel{Model: r.Model, Version: r.Version}) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "engine: model %q version %q is not loaded", r.Model, r.Version)
	}
	if e.waiting.Len() >= e.cfg.MaxWaiting {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "engine: %d streams are waiting", e.waiting.Len())
	}
	return e.kv.claim(s)
}

// Attach implements endpoint.Engine.
func (e *Engine) Attach(ctx context.Context, streamID string, from int) (endpoint.Stream, error) {
	if err := e.beginCall(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[streamID]
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "engine: no stream %q", streamID)
	}
	if from < s.request.ResumeTokens || from > s.total {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "engine: stream %q has no offset %d", streamID, from)
	}
	return &reader{engine: e, stream: s, next: from}, nil
}

// Cancel implements endpoint.Engine.
func (e *Engine) Cancel(ctx context.Context, streamID string) error {
	if err := e.beginCall(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[streamID]; ok {
		e.abortStreamLocked(s, errCancelled)
	}
	return nil
}

// acceptLocked records the stream's attempt and queues it.
func (e *Engine) acceptLocked(s *stream) {
	e.lastStream++
	s.id = fmt.Sprintf("%s-%d", e.incarnation, e.lastStream)
	s.arrival = e.lastStream
	s.uncached = s.contextTokens - e.cachedLocked(s)
	s.attempt = &Attempt{
		RequestID: s.request.RequestID, AttemptID: s.request.AttemptID, Customer: s.request.Customer,
		Model: s.request.Model, Version: s.request.Version, StreamID: s.id,
		PromptTokens: s.contextTokens - s.request.ResumeTokens, ResumeTokens: s.request.ResumeTokens,
	}
	e.attempts = append(e.attempts, s.attempt)
	e.streams[s.id] = s
	e.waiting.push(s)
	e.scheduleLocked()
}

// afterLocked runs f with the lock held after the time d, unless the engine
// crashes or the timer is stopped first.
func (e *Engine) afterLocked(d time.Duration, f func()) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(max(d, 1), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if _, live := e.timers[timer]; !live {
			return
		}
		delete(e.timers, timer)
		f()
	})
	e.timers[timer] = struct{}{}
	return timer
}

// stopTimerLocked stops a timer; nil is ignored.
func (e *Engine) stopTimerLocked(timer *time.Timer) {
	if timer == nil {
		return
	}
	timer.Stop()
	delete(e.timers, timer)
}

func resetError() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "stream: %w", errConnectionReset)
}

func crashedError() error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine: %w", errCrashed)
}
