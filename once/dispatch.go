package once

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/elapsed"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// sendResult is the result of an attempt that was sent.
type sendResult struct {
	reply endpoint.Reply
	err   error
}

// dispatch sends a claimed attempt and records its outcome. It returns early if
// ctx ends; the send and the write then continue in the background.
func (s *Store) dispatch(ctx context.Context, a *attempt, send SendFunc) (endpoint.Reply, error) {
	if err := s.checkSendable(ctx, a); err != nil {
		s.abandon(a)
		return endpoint.Reply{}, err
	}
	results := make(chan sendResult, 1)
	s.background(func() {
		defer s.endAttempt(a)
		s.finish(ctx, a, send, results)
	})
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return endpoint.Reply{}, inProgressError("caller gone while the call runs: %w", ctx.Err())
	}
}

// checkSendable refuses a claimed attempt whose caller's context has ended, or
// that is older than SendWindow: its process was paused, and its row may have
// been swept.
func (s *Store) checkSendable(ctx context.Context, a *attempt) error {
	if err := ctx.Err(); err != nil {
		return s.notRunError("caller gone before the call was sent: %w", err)
	}
	if age := elapsed.Since(a.began); age > s.opt.SendWindow {
		return s.notRunError("attempt is %v old, too old to be sent", age)
	}
	return nil
}

// finish sends the call and records its outcome. It sends the result to answer
// once the outcome is recorded, or after RecordWait.
func (s *Store) finish(ctx context.Context, a *attempt, send SendFunc, results chan<- sendResult) {
	result := s.sendOnce(ctx, a, send)
	r := s.outcome(a, result)
	recorded := make(chan struct{})
	s.background(func() { results <- s.awaitRecorded(recorded, r, result) })
	s.recordOutcome(a, r)
	close(recorded)
}

// awaitRecorded waits until the outcome is recorded, at most for RecordWait,
// and returns the result to report.
func (s *Store) awaitRecorded(recorded <-chan struct{}, r *record, result sendResult) sendResult {
	timer := time.NewTimer(s.opt.RecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
		return result
	case <-timer.C:
	}
	if r.State != stateNotRun {
		return result
	}
	// The row is still in state dispatched, which would block a retry, so
	// not_run is not reported yet.
	return sendResult{err: inProgressError("outcome not recorded yet: %w", result.err)}
}

// sendOnce sends the call with its own time limit, independent of ctx.
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

// outcome returns the record of a finished send.
func (s *Store) outcome(a *attempt, result sendResult) *record {
	if result.err == nil {
		return s.setReply(s.newRecord(a, stateRan), result.reply)
	}
	r := s.newRecord(a, stateUnknown)
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

// setReply sets the state of r to ran and stores the reply in it, unless the
// reply exceeds MaxReplyBytes.
func (s *Store) setReply(r *record, reply endpoint.Reply) *record {
	r.State, r.Code, r.Message = stateRan, "", ""
	if len(reply.Body) > s.opt.MaxReplyBytes {
		r.Message = "reply was too large to keep"
		return r
	}
	r.Reply = &reply
	return r
}
