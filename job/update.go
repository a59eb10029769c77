package job

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Bind records the engine's stream that generates the answer, so that an
// adopter can attach to it.
func (s *Store) Bind(ctx context.Context, id string, stream Stream) error {
	return s.update(ctx, id, infra.PriorityAccept, func(r *Record) {
		r.State = StateRunning
		r.Stream = stream
	})
}

// Checkpoint records the first tokens of the answer and their text. It is
// skipped if as many tokens are already recorded. Since it may wait for
// Options.CheckpointHold, call it in a goroutine other than the one that
// relays the answer.
func (s *Store) Checkpoint(ctx context.Context, id string, tokens int, text string) error {
	owned, err := s.ownedByID(id)
	if err != nil {
		return err
	}
	r, _ := owned.get()
	if tokens <= r.Checkpoint.Tokens {
		return nil
	}
	stored, err := s.storeText(ctx, &r, text)
	if err != nil {
		return err
	}
	var old Text
	err = s.update(ctx, id, infra.PriorityCheckpoint, func(r *Record) {
		if old = stored; tokens > r.Checkpoint.Tokens {
			old = r.Checkpoint.Text
			r.Checkpoint = Checkpoint{Tokens: tokens, Text: stored}
		}
	})
	if err == nil {
		s.discard(ctx, old)
	}
	s.discardIfNotRun(ctx, err, stored)
	return err
}

// Finish records the end of the request: a complete answer, or a failure if the
// answer has a code. answer.Text.Inline holds the complete text.
func (s *Store) Finish(ctx context.Context, id string, answer Answer, v verdict.Verdict) error {
	owned, err := s.ownedByID(id)
	if err != nil {
		return err
	}
	r, _ := owned.get()
	answer.Text, err = s.storeText(ctx, &r, answer.Text.Inline)
	if err != nil {
		return err
	}
	answer.Verdict = v.String()
	var old Text
	err = s.update(ctx, id, infra.PriorityAccept, func(r *Record) {
		r.State = StateDone
		if answer.Code != "" {
			r.State = StateFailed
		}
		r.Answer = &answer
		old, r.Checkpoint.Text = r.Checkpoint.Text, Text{}
	})
	if err == nil {
		s.discard(ctx, old)
	}
	s.discardIfNotRun(ctx, err, answer.Text)
	return err
}

// Check reads the record and fails with verdict.CodeFenced if this process no
// longer owns the request. Call it before starting any work for the request.
func (s *Store) Check(ctx context.Context, id string) error {
	owned, err := s.ownedByID(id)
	if err != nil {
		return err
	}
	r, _ := owned.get()
	now, _, err := s.load(ctx, r.Customer, id)
	if err != nil {
		return err
	}
	if now.Fence != r.Fence || now.Owner != r.Owner || now.OwnerIncarnation != r.OwnerIncarnation {
		s.removeOwned(id, owned)
		return fencedError(verdict.NotRun, id)
	}
	return nil
}

// update changes an owned request's row, conditional on the version last
// written.
func (s *Store) update(ctx context.Context, id string, priority infra.Priority, change func(*Record)) error {
	owned, err := s.ownedByID(id)
	if err != nil {
		return err
	}
	first, _ := owned.get()
	var next Record
	o := &op{
		rows:     []string{first.row()},
		priority: priority,
		build: func() ([]infra.Write, error) {
			r, version := owned.get()
			if r.State.Finished() {
				return nil, verdict.New(verdict.Ran, verdict.CodeConflict, "job: request is finished")
			}
			change(&r)
			next = r
			return updateWrites(&r, version)
		},
		applied: func(version uint64, _ bool) {
			invariant.Check(next.TemplateVersion == first.TemplateVersion && next.Version == first.Version,
				invariant.RequestVersionFixed, "request %s changed from version %d", id, first.TemplateVersion)
			owned.set(next, version)
			if next.State.Finished() {
				s.removeOwned(id, owned)
			}
		},
	}
	err = s.batch.do(ctx, o)
	if conflictOn(err, first.row()) {
		s.removeOwned(id, owned)
		return fencedError(verdict.Of(err), id)
	}
	return err
}

// updateWrites returns the writes that replace the row and, for a finished
// request, delete its jobown row.
func updateWrites(r *Record, version uint64) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	writes := []infra.Write{{Key: r.row(), Value: value, Expect: version}}
	if r.State.Finished() {
		writes = append(writes, infra.Write{Key: r.ownerRow(), Delete: true, Expect: infra.ExpectAny})
	}
	return writes, nil
}

// discardIfNotRun deletes a text if err proves that its row was not written.
func (s *Store) discardIfNotRun(ctx context.Context, err error, t Text) {
	if err != nil && verdict.Of(err) == verdict.NotRun {
		s.discard(ctx, t)
	}
}

// discard deletes the object of a text that no row refers to. If the delete
// fails, the object remains.
func (s *Store) discard(ctx context.Context, t Text) {
	if t.Object == "" {
		return
	}
	if err := s.objects.Delete(ctx, t.Object); err != nil {
		s.log.WithError(err).Debug("job: old text not deleted.")
	}
}

// ownedByID returns an owned request, or an error with verdict.CodeFenced.
func (s *Store) ownedByID(id string) (*ownedRequest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned, ok := s.owned[id]
	if !ok {
		return nil, fencedError(verdict.NotRun, id)
	}
	return owned, nil
}

// removeOwned removes a request from the owned requests, unless a later claim
// of the same request has replaced it.
func (s *Store) removeOwned(id string, owned *ownedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned[id] == owned {
		delete(s.owned, id)
	}
}

// fencedError returns the error for a request that this process does not own.
// Its verdict applies to the write that failed, not to the request.
func fencedError(v verdict.Verdict, id string) error {
	return verdict.New(v, verdict.CodeFenced, "job %s: request is not owned by this process", id)
}
