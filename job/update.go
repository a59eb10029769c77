package job

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Bind records the engine's stream that answers the request, so that an
// adopter can attach to it.
func (s *Store) Bind(ctx context.Context, id string, stream Stream) error {
	return s.update(ctx, id, infra.PriorityAccept, func(r *Record) {
		r.State = StateRunning
		r.Stream = stream
	})
}

// Checkpoint records the answer so far. An older one than recorded is
// skipped. It may wait for Options.CheckpointHold and is best called beside
// the relay of the answer.
func (s *Store) Checkpoint(ctx context.Context, id string, tokens int, text string) error {
	h, err := s.handle(id)
	if err != nil {
		return err
	}
	r, _ := h.get()
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
	s.discardUnless(ctx, err, stored)
	return err
}

// Finish records the end of the request: a whole answer, or a failure when
// the answer has a code. answer.Text.Inline holds the whole text.
func (s *Store) Finish(ctx context.Context, id string, answer Answer, v verdict.Verdict) error {
	h, err := s.handle(id)
	if err != nil {
		return err
	}
	r, _ := h.get()
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
	s.discardUnless(ctx, err, answer.Text)
	return err
}

// Check fails with verdict.CodeFenced when the request is no longer this
// process's own. A process asks before it starts anything for the request.
func (s *Store) Check(ctx context.Context, id string) error {
	h, err := s.handle(id)
	if err != nil {
		return err
	}
	r, _ := h.get()
	now, _, err := s.load(ctx, r.Customer, id)
	if err != nil {
		return err
	}
	if now.Fence != r.Fence || now.Owner != r.Owner || now.OwnerIncarnation != r.OwnerIncarnation {
		s.disown(id, h)
		return fenced(verdict.NotRun, id)
	}
	return nil
}

// update changes an owned request's row, on the version last written.
func (s *Store) update(ctx context.Context, id string, p infra.Priority, change func(*Record)) error {
	h, err := s.handle(id)
	if err != nil {
		return err
	}
	first, _ := h.get()
	var next Record
	o := &op{
		rows:     []string{first.row()},
		priority: p,
		build: func() ([]infra.Write, error) {
			r, version := h.get()
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
			h.set(next, version)
			if next.State.Finished() {
				s.disown(id, h)
			}
		},
	}
	err = s.batch.do(ctx, o)
	if conflictOn(err, first.row()) {
		s.disown(id, h)
		return fenced(verdict.Of(err), id)
	}
	return err
}

// updateWrites writes the row, and takes a finished request off its owner's
// list.
func updateWrites(r *Record, version uint64) ([]infra.Write, error) {
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	writes := []infra.Write{{Key: r.row(), Value: value, Expect: version}}
	if r.State.Finished() {
		writes = append(writes, infra.Write{Key: r.ownRow(), Delete: true, Expect: infra.ExpectAny})
	}
	return writes, nil
}

// discardUnless deletes a text whose row was certainly not written.
func (s *Store) discardUnless(ctx context.Context, err error, t Text) {
	if err != nil && verdict.Of(err) == verdict.NotRun {
		s.discard(ctx, t)
	}
}

// discard deletes a text that no row names. A failure leaves it behind.
func (s *Store) discard(ctx context.Context, t Text) {
	if t.Object == "" {
		return
	}
	if err := s.objects.Delete(ctx, t.Object); err != nil {
		s.log.WithError(err).Debug("job: old text not deleted.")
	}
}

func (s *Store) handle(id string) (*handle, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.owned[id]
	if !ok {
		return nil, fenced(verdict.NotRun, id)
	}
	return h, nil
}

// disown forgets a handle, but not that of a later claim of the same request.
func (s *Store) disown(id string, h *handle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned[id] == h {
		delete(s.owned, id)
	}
}

// fenced says that the request is not this process's own. Its verdict is about
// the write that failed, not about the request.
func fenced(v verdict.Verdict, id string) error {
	return verdict.New(v, verdict.CodeFenced, "job %s: request is not this process's own", id)
}
