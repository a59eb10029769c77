package once

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// Waits between tries to write an outcome.
const (
	settleFirstWait = 20 * time.Millisecond
	settleMaxWait   = 2 * time.Second
)

// abandon gives up an attempt that was not sent. In the background it writes
// not_run over the attempt, or over the row as it was before, so that neither
// the claim nor a delayed copy of it stands in the way of a retry.
func (s *Store) abandon(a *attempt) {
	invariant.Check(!a.sent.Load(), invariant.NotRunNeverSent, "attempt %s abandoned after its send", a.id)
	s.mu.Lock()
	s.active[a.id] = struct{}{}
	s.mu.Unlock()
	s.background(func() {
		defer s.forget(a)
		s.settle(a, s.record(a, stateNotRun))
	})
}

// settle writes the attempt's outcome until it stands, or can't stand any
// more, or the store is closed.
func (s *Store) settle(a *attempt, r *record) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = settleFirstWait
	wait.MaxInterval = settleMaxWait
	for {
		done, err := s.trySettle(a, r)
		if done {
			return
		}
		s.log.WithError(err).WithField("attempt", a.id).Debug("once: outcome not written yet.")
		if !ctxtime.Sleep(s.ctx, wait.NextBackOff()) {
			s.log.WithField("attempt", a.id).Warn("once: outcome given up.")
			return
		}
	}
}

// trySettle writes the outcome on the version known from the claim, or else
// reads the row and writes on what it finds.
func (s *Store) trySettle(a *attempt, r *record) (bool, error) {
	if a.version != 0 {
		expect := a.version
		a.version = 0
		_, err := s.write(s.ctx, a.row, r, expect)
		return err == nil, err
	}
	row, ok, err := s.read(s.ctx, a.row)
	if err != nil {
		return false, err
	}
	expect, open, err := openFor(a, row, ok)
	if err != nil || !open {
		return err == nil, err
	}
	_, err = s.write(s.ctx, a.row, r, expect)
	return err == nil, err
}

// openFor says whether the attempt's outcome still has to be written, and on
// which version of the row.
func openFor(a *attempt, row infra.Row, ok bool) (uint64, bool, error) {
	if !ok {
		// A claim from absence may still arrive. Any other row was swept.
		return infra.ExpectAbsent, a.expect == infra.ExpectAbsent, nil
	}
	r, err := decode(row)
	if err != nil {
		return 0, false, err
	}
	if r.Attempt == a.id {
		return row.Version, r.State == stateDispatched, nil
	}
	// Someone else's record: a claim that was conditional on this very
	// version may still arrive; after any other it can't.
	return row.Version, row.Version == a.expect, nil
}
