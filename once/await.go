package once

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxPollInterval bounds the wait between two looks at a row.
const maxPollInterval = time.Second

// awaited is what came of another attempt: its reply, or the version of a
// not_run row that may be replaced.
type awaited struct {
	reply   *endpoint.Reply
	version uint64
}

func (w awaited) take() endpoint.Reply {
	if w.reply == nil {
		return endpoint.Reply{}
	}
	return *w.reply
}

// await returns the outcome of the attempt that holds the row, and waits for
// it while its owner lives.
func (s *Store) await(ctx context.Context, key Key, a *attempt, f *found) (awaited, error) {
	interval := s.opt.PollInterval
	for {
		if f.record.Body != a.body {
			return awaited{}, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "once: key was used with another body")
		}
		switch f.record.State {
		case stateNotRun:
			return awaited{version: f.version}, nil
		case stateRan:
			return recordedReply(f.record)
		case stateUnknown:
			return s.ask(ctx, key, f)
		}
		if !s.ownerAlive(f.record) {
			return s.afterDeath(ctx, key, a, f)
		}
		if !ctxtime.Sleep(ctx, interval) {
			return awaited{}, inProgress("another attempt runs: %w", ctx.Err())
		}
		interval = min(2*interval, maxPollInterval)
		f = s.lookAgain(ctx, a, f)
	}
}

// afterDeath reads the row once more: the owner may have recorded its outcome
// just before it went.
func (s *Store) afterDeath(ctx context.Context, key Key, a *attempt, f *found) (awaited, error) {
	last := s.lookAgain(ctx, a, f)
	switch last.record.State {
	case stateNotRun:
		return awaited{version: last.version}, nil
	case stateRan:
		return recordedReply(last.record)
	}
	return s.ask(ctx, key, last)
}

// lookAgain reads the row, and keeps the last sight of it while the table is
// down.
func (s *Store) lookAgain(ctx context.Context, a *attempt, last *found) *found {
	f, err := s.look(ctx, a)
	if err != nil {
		return last
	}
	return f
}

func recordedReply(r *record) (awaited, error) {
	if r.Reply != nil {
		return awaited{reply: r.Reply}, nil
	}
	code := r.Code
	if code == "" {
		code = verdict.CodeInternal
	}
	return awaited{}, verdict.New(verdict.Ran, code, "once: call ran, reply not kept: %s", r.Message)
}

// ask turns an unknown outcome into ran where the service can tell. Its "no"
// does not make it not_run: a paused sender may still get through.
func (s *Store) ask(ctx context.Context, key Key, f *found) (awaited, error) {
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "once: outcome of the first attempt is unknown")
	if s.opt.Lookup == nil {
		return awaited{}, unknown
	}
	reply, ok, err := s.opt.Lookup(ctx, key)
	if err != nil || !ok {
		return awaited{}, unknown
	}
	s.keepReply(ctx, key, f, reply)
	return awaited{reply: &reply}, nil
}

// keepReply records a reply that the service told. A failure is no harm: the
// next request asks again.
func (s *Store) keepReply(ctx context.Context, key Key, f *found, reply endpoint.Reply) {
	r := *f.record
	if _, err := s.write(ctx, key.row(), s.ran(&r, reply), f.version); err != nil {
		s.log.WithError(err).Debug("once: looked-up reply not recorded.")
	}
}
