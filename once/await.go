package once

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxPollInterval limits the interval between reads of a claimed row.
const maxPollInterval = time.Second

// awaitResult is the result of another attempt: its reply, or the version of
// its not_run row, which a new claim may replace.
type awaitResult struct {
	reply   *endpoint.Reply
	version uint64
}

// replyOrZero returns the reply, or the zero Reply if there is none.
func (r awaitResult) replyOrZero() endpoint.Reply {
	if r.reply == nil {
		return endpoint.Reply{}
	}
	return *r.reply
}

// await returns the outcome of the attempt that holds the row. It waits for the
// outcome as long as the attempt's owner is live.
func (s *Store) await(ctx context.Context, key Key, a *attempt, existing *existingRow) (awaitResult, error) {
	interval := s.opt.PollInterval
	for {
		if existing.record.Body != a.body {
			return awaitResult{}, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "once: key was used with another body")
		}
		switch existing.record.State {
		case stateNotRun:
			return awaitResult{version: existing.version}, nil
		case stateRan:
			return recordedReply(existing.record)
		case stateUnknown:
			return s.resolveUnknown(ctx, key, existing)
		}
		if !s.ownerAlive(existing.record) {
			return s.awaitFailedOwner(ctx, key, a, existing)
		}
		if !ctxtime.Sleep(ctx, interval) {
			return awaitResult{}, inProgressError("another attempt runs: %w", ctx.Err())
		}
		interval = min(2*interval, maxPollInterval)
		existing = s.reread(ctx, a, existing)
	}
}

// awaitFailedOwner reads the row once more, since the owner may have recorded
// the outcome just before it failed.
func (s *Store) awaitFailedOwner(ctx context.Context, key Key, a *attempt, existing *existingRow) (awaitResult, error) {
	last := s.reread(ctx, a, existing)
	switch last.record.State {
	case stateNotRun:
		return awaitResult{version: last.version}, nil
	case stateRan:
		return recordedReply(last.record)
	}
	return s.resolveUnknown(ctx, key, last)
}

// reread reads the row again. It returns the last row read while the table is
// unavailable.
func (s *Store) reread(ctx context.Context, a *attempt, last *existingRow) *existingRow {
	f, err := s.readExisting(ctx, a)
	if err != nil {
		return last
	}
	return f
}

// recordedReply returns the reply of a record in stateRan, or an error with
// verdict.Ran if the record has no reply.
func recordedReply(r *record) (awaitResult, error) {
	if r.Reply != nil {
		return awaitResult{reply: r.Reply}, nil
	}
	code := r.Code
	if code == "" {
		code = verdict.CodeInternal
	}
	return awaitResult{}, verdict.New(verdict.Ran, code, "once: call ran, but its reply was not recorded: %s", r.Message)
}

// resolveUnknown resolves an unknown outcome to ran if the service reports that
// it executed the call. A negative reply does not prove not_run, since a paused
// sender may still send the call.
func (s *Store) resolveUnknown(ctx context.Context, key Key, existing *existingRow) (awaitResult, error) {
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "once: outcome of the first attempt is unknown")
	if s.opt.Lookup == nil {
		return awaitResult{}, unknown
	}
	reply, ok, err := s.opt.Lookup(ctx, key)
	if err != nil || !ok {
		return awaitResult{}, unknown
	}
	s.recordLookup(ctx, key, existing, reply)
	return awaitResult{reply: &reply}, nil
}

// recordLookup records a reply that the service's lookup returned. A failure is
// only logged, since the next request queries the service again.
func (s *Store) recordLookup(ctx context.Context, key Key, existing *existingRow, reply endpoint.Reply) {
	r := *existing.record
	if _, err := s.write(ctx, key.row(), s.setReply(&r, reply), existing.version); err != nil {
		s.log.WithError(err).Debug("once: reply from lookup not recorded.")
	}
}
