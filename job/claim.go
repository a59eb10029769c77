package job

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Claim makes an unfinished request of another process this one's own, with a
// higher fencing number, if its number still is from. It returns the record
// with prompt and checkpoint text. Of several claimants one succeeds; the
// others get verdict.CodeConflict.
func (s *Store) Claim(ctx context.Context, customer, id string, from uint64) (Record, error) {
	return s.claimFrom(ctx, customer, id, func(r *Record) bool { return r.Fence == from })
}

// claimFrom claims a request whose record is as expected.
func (s *Store) claimFrom(ctx context.Context, customer, id string, expected func(*Record) bool) (Record, error) {
	old, version, err := s.load(ctx, customer, id)
	if err != nil {
		return Record{}, err
	}
	if !expected(&old) || old.State.Finished() {
		return Record{}, claimLost(id)
	}
	r := old
	r.Owner, r.OwnerIncarnation = s.opt.Owner, s.opt.Incarnation
	r.Fence = old.Fence + 1
	o := &op{
		rows:     []string{r.row()},
		priority: infra.PriorityAccept,
		build:    func() ([]infra.Write, error) { return claimWrites(&old, &r, version) },
		applied:  func(version uint64, late bool) { s.own(r, version, late) },
	}
	err = s.batch.do(ctx, o)
	if conflictOn(err, r.row()) {
		return Record{}, claimLost(id)
	}
	if err != nil {
		return Record{}, err
	}
	filled, err := s.fill(ctx, r)
	if err != nil {
		// It is this process's own now, but can't be run yet.
		s.orphan(r)
	}
	return filled, err
}

// fill reads the prompt and the checkpoint's text of an owned record.
func (s *Store) fill(ctx context.Context, r Record) (Record, error) {
	if err := s.fetchPrompt(ctx, &r); err != nil {
		return r, err
	}
	return r, s.fetchText(ctx, &r.Checkpoint.Text)
}

// claimWrites moves the request from one owner's list to another's.
func claimWrites(old, r *Record, version uint64) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	return []infra.Write{
		{Key: r.row(), Value: value, Expect: version},
		{Key: old.ownRow(), Delete: true, Expect: infra.ExpectAny},
		{Key: r.ownRow(), Expect: infra.ExpectAny},
	}, nil
}

func claimLost(id string) error {
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "job %s: claimed by another or finished", id)
}
