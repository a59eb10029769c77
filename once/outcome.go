package once

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// Initial and maximum delay between attempts to write an outcome.
const (
	recordInitialBackoff = 20 * time.Millisecond
	recordMaxBackoff     = 2 * time.Second
)

// abandon ends an attempt that was not sent. In the background it replaces the
// claim, or the row that the claim is conditional on, by not_run, so that
// neither the claim nor a delayed copy of it blocks a retry.
func (s *Store) abandon(a *attempt) {
	invariant.Check(!a.sent.Load(), invariant.NotRunNeverSent, "attempt %s abandoned after its send", a.id)
	s.mu.Lock()
	s.activeAttempts[a.id] = struct{}{}
	s.mu.Unlock()
	s.background(func() {
		defer s.endAttempt(a)
		s.recordOutcome(a, s.newRecord(a, stateNotRun))
	})
}

// recordOutcome writes the attempt's outcome, with retries until it is written,
// a write is no longer needed, or the store is closed.
func (s *Store) recordOutcome(a *attempt, r *record) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = recordInitialBackoff
	retries.MaxInterval = recordMaxBackoff
	for {
		done, err := s.tryRecordOutcome(a, r)
		if done {
			return
		}
		s.log.WithError(err).WithField("attempt", a.id).Debug("once: outcome not written, retrying.")
		if !ctxtime.Sleep(s.ctx, retries.NextBackOff()) {
			s.log.WithField("attempt", a.id).Warn("once: outcome not written before close.")
			return
		}
	}
}

// tryRecordOutcome writes the outcome once, conditional on the version of the
// claim if it is known. Otherwise it reads the row first and, if the outcome
// must still be written, uses the version read. It reports whether no further
// attempt to write is needed.
func (s *Store) tryRecordOutcome(a *attempt, r *record) (bool, error) {
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
	expect, needed, err := writeNeeded(a, row, ok)
	if err != nil || !needed {
		return err == nil, err
	}
	_, err = s.write(s.ctx, a.row, r, expect)
	return err == nil, err
}

// writeNeeded reports whether the attempt's outcome still has to be written. It
// also returns the row version that the write must be conditional on.
func writeNeeded(a *attempt, row infra.Row, ok bool) (uint64, bool, error) {
	if !ok {
		// A delayed insert may still take effect. If the claim was not an
		// insert, the row was swept.
		return infra.ExpectAbsent, a.expect == infra.ExpectAbsent, nil
	}
	r, err := decode(row)
	if err != nil {
		return 0, false, err
	}
	if r.Attempt == a.id {
		return row.Version, r.State == stateDispatched, nil
	}
	// The row has another attempt's record. A delayed claim may still take
	// effect only if it is conditional on exactly this version.
	return row.Version, row.Version == a.expect, nil
}
