package job

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Claim transfers an unfinished request of another process to this process, and
// increases its fencing token, if the token is still from. It returns the
// record with prompt and checkpoint text. If several processes claim a request,
// one succeeds and the others get verdict.CodeConflict.
func (s *Store) Claim(ctx context.Context, customer, id string, from uint64) (Record, error) {
	return s.claimIf(ctx, customer, id, func(r *Record) bool { return r.Fence == from })
}

// claimIf claims a request if its record satisfies expected.
func (s *Store) claimIf(ctx context.Context, customer, id string, expected func(*Record) bool) (Record, error) {
	old, version, err := s.load(ctx, customer, id)
	if err != nil {
		return Record{}, err
	}
	if !expected(&old) || old.State.Finished() {
		return Record{}, claimLostError(id)
	}
	r := old
	r.Owner, r.OwnerIncarnation = s.opt.Owner, s.opt.Incarnation
	r.Fence = old.Fence + 1
	o := &op{
		rows:     []string{r.row()},
		priority: infra.PriorityAccept,
		build:    func() ([]infra.Write, error) { return claimWrites(&old, &r, version) },
		applied:  func(version uint64, late bool) { s.addOwned(r, version, late) },
	}
	err = s.batch.do(ctx, o)
	if conflictOn(err, r.row()) {
		return Record{}, claimLostError(id)
	}
	if err != nil {
		return Record{}, err
	}
	loaded, err := s.loadTexts(ctx, r)
	if err != nil {
		// This process owns the request, but can't run it yet.
		s.addOrphan(r)
	}
	return loaded, err
}

// loadTexts returns the owned record with its prompt and checkpoint text.
func (s *Store) loadTexts(ctx context.Context, r Record) (Record, error) {
	if err := s.fetchPrompt(ctx, &r); err != nil {
		return r, err
	}
	return r, s.fetchText(ctx, &r.Checkpoint.Text)
}

// claimWrites returns the writes that replace the record and move the request
// from the jobown rows of the old owner to those of the new one.
func claimWrites(old, r *Record, version uint64) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	return []infra.Write{
		{Key: r.row(), Value: value, Expect: version},
		{Key: old.ownerRow(), Delete: true, Expect: infra.ExpectAny},
		{Key: r.ownerRow(), Expect: infra.ExpectAny},
	}, nil
}

func claimLostError(id string) error {
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "job %s: claimed by another process or finished", id)
}
