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

// maxClaims limits how often one Do tries to claim the key. If other attempts
// win all these races, it fails with verdict.CodeInProgress.
const maxClaims = 8

// SendFunc sends the call once. Its error must have a verdict; an error without
// one is treated as verdict.MayHaveRun.
type SendFunc func(ctx context.Context, attempt string) (endpoint.Reply, error)

// Store executes calls at most once. It is safe for concurrent use.
type Store struct {
	table infra.Table
	opt   Options
	log   *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	// activeAttempts holds the IDs of this process's attempts that have not
	// ended.
	activeAttempts map[string]struct{}
	// pending counts the running background goroutines.
	pending int
	running sync.WaitGroup
}

// attempt is one attempt to execute a call. It is owned by one goroutine at a
// time; sent may be read by any goroutine.
type attempt struct {
	id    string
	row   string
	body  string
	began time.Time
	// expect is the row version that the claim is conditional on.
	expect uint64
	// version is the row's version after the confirmed claim, 0 if unknown.
	version uint64
	sent    atomic.Bool
}

// New returns a Store that keeps its rows in the table. Close must be called.
func New(table infra.Table, options Options) *Store {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{
		table:          table,
		opt:            options,
		log:            options.Log,
		ctx:            infra.WithPriority(ctx, infra.PriorityOnce),
		cancel:         cancel,
		activeAttempts: make(map[string]struct{}),
	}
}

// Do calls send, unless another attempt for the key has sent the call or may
// still send it; then it returns the outcome of that attempt. body is the hash
// of the call's body.
//
// An error with verdict.NotRun is final for this request; a later Do with the
// same key may execute the call. If ctx ends while an attempt is being sent,
// the send continues until SendTimeout and its outcome is recorded.
func (s *Store) Do(ctx context.Context, key Key, body [32]byte, send SendFunc) (endpoint.Reply, error) {
	if err := s.beginCall(); err != nil {
		return endpoint.Reply{}, err
	}
	defer s.running.Done()
	expect := infra.ExpectAbsent
	for range maxClaims {
		if err := ctx.Err(); err != nil {
			return endpoint.Reply{}, s.notRunError("caller gone before the claim: %w", err)
		}
		a := s.newAttempt(key, body, expect)
		existing, err := s.claim(ctx, a)
		if err != nil {
			s.endAttempt(a)
			return endpoint.Reply{}, err
		}
		if existing == nil {
			return s.dispatch(ctx, a, send)
		}
		s.endAttempt(a)
		outcome, err := s.await(ctx, key, a, existing)
		if err != nil || outcome.reply != nil {
			return outcome.replyOrZero(), err
		}
		expect = outcome.version
	}
	return endpoint.Reply{}, inProgressError("lost the race for the key %d times", maxClaims)
}

// Close waits until all sends and writes have ended. After CloseTimeout it
// cancels those that remain. Calls to Do after Close are refused.
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
		s.log.WithField("pending", s.pendingCount()).Warn("once: close timed out, cancelling sends and writes.")
	}
	s.cancel()
	<-done
}

// beginCall registers a call in running. It refuses the call if the store is
// closed or MaxBackground sends and writes are pending.
func (s *Store) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return s.notRunError("entry is stopping")
	}
	if s.pending >= s.opt.MaxBackground {
		return s.notRunError("too many outcomes wait to be recorded")
	}
	s.running.Add(1)
	return nil
}

// background runs fn in a goroutine that Close waits for. The caller itself
// must be registered in running.
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

// pendingCount returns the number of running background goroutines.
func (s *Store) pendingCount() int {
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
	s.activeAttempts[a.id] = struct{}{}
	return a
}

// endAttempt marks the attempt as ended: this process neither sends nor writes
// anything more for it.
func (s *Store) endAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.activeAttempts, a.id)
}

func (s *Store) newRecord(a *attempt, st state) *record {
	return &record{
		State:       st,
		Attempt:     a.id,
		Owner:       s.opt.EntryID,
		Incarnation: s.opt.Incarnation,
		Body:        a.body,
	}
}

// ownerAlive reports whether the attempt of a dispatched row may still finish.
func (s *Store) ownerAlive(r *record) bool {
	if r.Owner == s.opt.EntryID && r.Incarnation == s.opt.Incarnation {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.activeAttempts[r.Attempt]
		return ok
	}
	return s.opt.Alive(r.Owner, r.Incarnation)
}

// tableContext returns the context of one table call, limited by TableTimeout.
// It is not cancelled with ctx, since that would make the result of a write
// unknown.
func (s *Store) tableContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx = infra.WithPriority(context.WithoutCancel(ctx), infra.PriorityOnce)
	return context.WithTimeout(ctx, s.opt.TableTimeout)
}

// notRunError returns an error with verdict.NotRun and the store's RetryAfter.
func (s *Store) notRunError(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "once: "+format, args...)
	return err.WithRetryAfter(s.opt.RetryAfter)
}

// inProgressError returns an error with verdict.MayHaveRun for a call whose
// outcome is not known yet.
func inProgressError(format string, args ...any) *verdict.Error {
	err := verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "once: "+format, args...)
	return err.WithRetryAfter(defaultRetryAfter)
}
