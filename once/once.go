package once

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxClaims bounds how often one Do loses the race for a not_run row before
// it gives up as in progress.
const maxClaims = 8

// SendFunc sends the call once. Its error must carry a verdict; one without
// counts as verdict.MayHaveRun.
type SendFunc func(ctx context.Context, attempt string) (endpoint.Reply, error)

// Store runs calls at most once. It is safe for concurrent use.
type Store struct {
	table infra.Table
	opt   Options
	log   *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	active  map[string]struct{}
	pending int
	running sync.WaitGroup
}

// attempt is one try to run a call. It is owned by one goroutine at a time;
// sent may be read by any.
type attempt struct {
	id    string
	row   string
	body  string
	began time.Time
	// expect is the version that the claim is conditional on.
	expect uint64
	// version is the row's version once the claim is confirmed.
	version uint64
	sent    atomic.Bool
}

// New returns a Store on the table. Close must be called.
func New(table infra.Table, options Options) *Store {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{
		table:  table,
		opt:    options,
		log:    options.Log,
		ctx:    infra.WithPriority(ctx, infra.PriorityOnce),
		cancel: cancel,
		active: make(map[string]struct{}),
	}
}

// Do runs send at most once for the key, or returns the outcome of the
// attempt that did. body is the hash of the call's body.
//
// An error with verdict.NotRun holds for this request now and for ever; a
// later Do with the same key may run it. When ctx ends while an attempt is
// being sent, the send goes on under SendTimeout and its outcome is recorded.
func (s *Store) Do(ctx context.Context, key Key, body [32]byte, send SendFunc) (endpoint.Reply, error) {
	if err := s.enter(); err != nil {
		return endpoint.Reply{}, err
	}
	defer s.running.Done()
	expect := infra.ExpectAbsent
	for range maxClaims {
		if err := ctx.Err(); err != nil {
			return endpoint.Reply{}, s.refused("caller gone before the claim: %w", err)
		}
		a := s.newAttempt(key, body, expect)
		held, err := s.claim(ctx, a)
		if err != nil {
			s.forget(a)
			return endpoint.Reply{}, err
		}
		if held == nil {
			return s.dispatch(ctx, a, send)
		}
		s.forget(a)
		outcome, err := s.await(ctx, key, a, held)
		if err != nil || outcome.reply != nil {
			return outcome.take(), err
		}
		expect = outcome.version
	}
	return endpoint.Reply{}, inProgress("lost the race for the key %d times", maxClaims)
}

// Close waits until all sends and writes are done, or gives up after
// CloseTimeout. Calls after Close are refused.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.opt.CloseTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.log.WithField("pending", s.backlog()).Warn("once: gave up waiting for outcomes.")
	}
	s.cancel()
	<-done
}

// enter registers a call, or refuses it.
func (s *Store) enter() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return s.refused("entry is stopping")
	}
	if s.pending >= s.opt.MaxBackground {
		return s.refused("too many outcomes wait to be recorded")
	}
	s.running.Add(1)
	return nil
}

// background runs fn until it returns; Close waits for it. The caller must be
// registered in running itself.
func (s *Store) background(fn func()) {
	s.mu.Lock()
	s.pending++
	s.mu.Unlock()
	s.running.Go(func() {
		defer func() {
			s.mu.Lock()
			s.pending--
			s.mu.Unlock()
		}()
		fn()
	})
}

func (s *Store) backlog() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *Store) newAttempt(key Key, body [32]byte, expect uint64) *attempt {
	a := &attempt{
		id:     s.opt.NewID(),
		row:    key.row(),
		body:   bodyHash(body),
		began:  time.Now(),
		expect: expect,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[a.id] = struct{}{}
	return a
}

// forget marks the end of all that this process does for the attempt.
func (s *Store) forget(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, a.id)
}

func (s *Store) record(a *attempt, st state) *record {
	return &record{
		State:       st,
		Attempt:     a.id,
		Owner:       s.opt.EntryID,
		Incarnation: s.opt.Incarnation,
		Body:        a.body,
	}
}

// ownerAlive says whether the attempt of a dispatched row may still finish.
func (s *Store) ownerAlive(r *record) bool {
	if r.Owner == s.opt.EntryID && r.Incarnation == s.opt.Incarnation {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.active[r.Attempt]
		return ok
	}
	return s.opt.Alive(r.Owner, r.Incarnation)
}

// tableContext bounds one call of the table. It does not end with ctx: a
// caller that goes away must not turn a write into an unknown one.
func (s *Store) tableContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx = infra.WithPriority(context.WithoutCancel(ctx), infra.PriorityOnce)
	return context.WithTimeout(ctx, s.opt.TableTimeout)
}

func (s *Store) refused(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "once: "+format, args...)
	return err.WithRetryAfter(s.opt.RetryAfter)
}

func inProgress(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "once: "+format, args...)
	return err.WithRetryAfter(defaultRetryAfter)
}
