package once

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// found is a row held by another attempt.
type found struct {
	record  *record
	version uint64
}

// claim writes dispatched for the attempt. It returns nil, nil once the claim
// is confirmed, the row that stands in the way, or an error with
// verdict.NotRun.
func (s *Store) claim(ctx context.Context, a *attempt) (*found, error) {
	version, err := s.write(ctx, a.row, s.record(a, stateDispatched), a.expect)
	if err == nil {
		a.version = version
		return nil, nil
	}
	if _, conflict := infra.ConflictKey(err); conflict {
		return s.look(ctx, a)
	}
	if verdict.Of(err) == verdict.NotRun {
		return nil, s.refused("claim: %w", err)
	}
	return s.readBack(ctx, a, err)
}

// look reads the row that a claim ran into.
func (s *Store) look(ctx context.Context, a *attempt) (*found, error) {
	row, ok, err := s.read(ctx, a.row)
	if err != nil {
		// Another attempt holds the key: the call may have run.
		return nil, verdict.Wrap(verdict.MayHaveRun, s.refused("read: %w", err))
	}
	if !ok {
		// The row was swept in between: the claim goes again from absence.
		return &found{record: s.record(a, stateNotRun), version: infra.ExpectAbsent}, nil
	}
	return decodeFound(row)
}

// readBack decides a claim whose answer was lost.
func (s *Store) readBack(ctx context.Context, a *attempt, lost error) (*found, error) {
	row, ok, err := s.read(ctx, a.row)
	if err != nil || !ok || row.Version == a.expect {
		// The claim may still take effect. Nothing was sent and nothing will
		// be, so the answer holds at once; the row follows.
		s.abandon(a)
		return nil, s.refused("claim not confirmed: %w", lost)
	}
	f, err := decodeFound(row)
	if err != nil {
		return nil, err
	}
	if f.record.Attempt == a.id {
		a.version = f.version
		return nil, nil
	}
	// Another write changed the row first, so that the claim, which is
	// conditional on what was there before, can't take effect any more.
	return f, nil
}

func decodeFound(row infra.Row) (*found, error) {
	r, err := decode(row)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "once: %w", err)
	}
	return &found{record: r, version: row.Version}, nil
}

func (s *Store) read(ctx context.Context, row string) (infra.Row, bool, error) {
	ctx, cancel := s.tableContext(ctx)
	defer cancel()
	return s.table.Get(ctx, row)
}

func (s *Store) write(ctx context.Context, row string, r *record, expect uint64) (uint64, error) {
	value, err := r.encode()
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInternal, "once: %w", err)
	}
	ctx, cancel := s.tableContext(ctx)
	defer cancel()
	return s.table.Commit(ctx, infra.Write{Key: row, Value: value, Expect: expect})
}
