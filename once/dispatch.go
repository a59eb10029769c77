package once

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/elapsed"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// sendResult is the end of an attempt.
type sendResult struct {
	reply endpoint.Reply
	err   error
}

// dispatch sends a claimed attempt and records its outcome. It returns early
// when ctx ends; the rest goes on in the background.
func (s *Store) dispatch(ctx context.Context, a *attempt, send SendFunc) (endpoint.Reply, error) {
	if err := s.maySend(ctx, a); err != nil {
		s.abandon(a)
		return endpoint.Reply{}, err
	}
	answer := make(chan sendResult, 1)
	s.background(func() {
		defer s.forget(a)
		s.finish(ctx, a, send, answer)
	})
	select {
	case r := <-answer:
		return r.reply, r.err
	case <-ctx.Done():
		return endpoint.Reply{}, inProgress("caller gone while the call runs: %w", ctx.Err())
	}
}

// maySend refuses a claimed attempt whose caller is gone, or that was claimed
// too long ago: its process was paused, and its row may have been swept.
func (s *Store) maySend(ctx context.Context, a *attempt) error {
	if err := ctx.Err(); err != nil {
		return s.refused("caller gone before the call was sent: %w", err)
	}
	if age := elapsed.Since(a.began); age > s.opt.SendWindow {
		return s.refused("attempt is %v old, too old to be sent", age)
	}
	return nil
}

// finish sends, records the outcome, and answers as soon as it may.
func (s *Store) finish(ctx context.Context, a *attempt, send SendFunc, answer chan<- sendResult) {
	result := s.sendOnce(ctx, a, send)
	r := s.outcome(a, result)
	settled := make(chan struct{})
	s.background(func() { answer <- s.answerWhen(settled, r, result) })
	s.settle(a, r)
	close(settled)
}

// answerWhen waits until the outcome is recorded, or for RecordWait.
func (s *Store) answerWhen(settled <-chan struct{}, r *record, result sendResult) sendResult {
	timer := time.NewTimer(s.opt.RecordWait)
	defer timer.Stop()
	select {
	case <-settled:
		return result
	case <-timer.C:
	}
	if r.State != stateNotRun {
		return result
	}
	// The row still says dispatched: a retry could not go ahead, so that
	// not_run is not said yet.
	return sendResult{err: inProgress("outcome not recorded yet: %w", result.err)}
}

// sendOnce sends under its own time limit.
func (s *Store) sendOnce(ctx context.Context, a *attempt, send SendFunc) sendResult {
	first := a.sent.CompareAndSwap(false, true)
	invariant.Check(first, invariant.OneSender, "attempt %s sent twice", a.id)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opt.SendTimeout)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	reply, err := send(ctx, a.id)
	return sendResult{reply: reply, err: err}
}

// outcome is the record of a finished send.
func (s *Store) outcome(a *attempt, result sendResult) *record {
	if result.err == nil {
		return s.ran(s.record(a, stateRan), result.reply)
	}
	r := s.record(a, stateUnknown)
	switch verdict.Of(result.err) {
	case verdict.NotRun:
		r.State = stateNotRun
	case verdict.Ran:
		r.State = stateRan
	}
	r.Code = verdict.CodeOf(result.err)
	r.Message = result.err.Error()
	return r
}

// ran puts the reply into r unless it is too large to keep.
func (s *Store) ran(r *record, reply endpoint.Reply) *record {
	r.State, r.Code, r.Message = stateRan, "", ""
	if len(reply.Body) > s.opt.MaxReplyBytes {
		r.Message = "reply was too large to keep"
		return r
	}
	r.Reply = &reply
	return r
}
