package once

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// existingRow is a row that another attempt has claimed.
type existingRow struct {
	record  *record
	version uint64
}

// claim writes a dispatched row for the attempt. It returns nil, nil if the
// claim is confirmed, the existing row if another attempt holds the key, or an
// error.
func (s *Store) claim(ctx context.Context, a *attempt) (*existingRow, error) {
	version, err := s.write(ctx, a.row, s.newRecord(a, stateDispatched), a.expect)
	if err == nil {
		a.version = version
		return nil, nil
	}
	if _, conflict := infra.ConflictKey(err); conflict {
		return s.readExisting(ctx, a)
	}
	if verdict.Of(err) == verdict.NotRun {
		return nil, s.notRunError("claim: %w", err)
	}
	return s.resolveClaim(ctx, a, err)
}

// readExisting reads the row that a claim conflicted with.
func (s *Store) readExisting(ctx context.Context, a *attempt) (*existingRow, error) {
	row, ok, err := s.read(ctx, a.row)
	if err != nil {
		// Another attempt holds the key, so the call may have run.
		return nil, verdict.Wrap(verdict.MayHaveRun, s.notRunError("read: %w", err))
	}
	if !ok {
		// The row was swept after the conflict. Report a not_run row that is
		// absent, so that the claim is repeated as an insert.
		return &existingRow{record: s.newRecord(a, stateNotRun), version: infra.ExpectAbsent}, nil
	}
	return decodeExisting(row)
}

// resolveClaim reads the row to determine the result of a claim whose reply
// was lost.
func (s *Store) resolveClaim(ctx context.Context, a *attempt, cause error) (*existingRow, error) {
	row, ok, err := s.read(ctx, a.row)
	if err != nil || !ok || row.Version == a.expect {
		// The claim may still take effect. The call was not sent and will not
		// be, so not_run is returned at once; the row is corrected later.
		s.abandon(a)
		return nil, s.notRunError("claim not confirmed: %w", cause)
	}
	existing, err := decodeExisting(row)
	if err != nil {
		return nil, err
	}
	if existing.record.Attempt == a.id {
		a.version = existing.version
		return nil, nil
	}
	// Another write changed the row first. The claim is conditional on the
	// previous version and can no longer take effect.
	return existing, nil
}

func decodeExisting(row infra.Row) (*existingRow, error) {
	r, err := decode(row)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "once: %w", err)
	}
	return &existingRow{record: r, version: row.Version}, nil
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
