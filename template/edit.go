package template

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Edit records t as a draft on top of version base. It changes nothing that is
// in force. The error is a *ConflictError when base is not the head.
func (s *Store) Edit(ctx context.Context, base uint64, author string, t *Template) (Draft, error) {
	if err := checkName(t.Name); err != nil {
		return Draft{}, err
	}
	if err := Validate(t); err != nil {
		return Draft{}, invalid("%w", err)
	}
	head, err := s.Head(ctx, t.Name)
	if err != nil {
		return Draft{}, err
	}
	edited := *t
	edited.Version = 0
	d := Draft{
		ID:       s.opts.NewID(),
		Name:     t.Name,
		Base:     base,
		Author:   author,
		EditedAt: s.opts.Now().UTC(),
		Template: &edited,
	}
	if head.Version != base {
		return Draft{}, s.conflict(ctx, d, head.Version)
	}
	return d, s.insertDraft(ctx, d)
}

// insertDraft writes a draft. Its ID is new, so that a conflict can only be
// with an earlier try of this same call.
func (s *Store) insertDraft(ctx context.Context, d Draft) error {
	value, err := json.Marshal(d)
	if err != nil {
		return invalid("draft: %w", err)
	}
	w := infra.Write{Key: draftKey(d.Name, d.ID), Value: value, Expect: infra.ExpectAbsent}
	return s.settle(ctx, []infra.Write{w}, func(ctx context.Context) (bool, error) {
		_, ok, err := s.get(ctx, w.Key)
		return ok, err
	})
}

// Approve puts a draft in force as a new version, and returns its number.
// Approving a draft that is in force already, or was, returns its number
// again. The error is a *ConflictError when the head is no longer the draft's
// base; verdict.MayHaveRun says that the draft may still come into force.
func (s *Store) Approve(ctx context.Context, name, id, author string) (uint64, error) {
	head, headRow, err := s.head(ctx, name)
	if err != nil {
		return 0, err
	}
	d, draftRow, err := s.draft(ctx, name, id)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return s.approvedBefore(ctx, name, id, err)
	}
	if err != nil {
		return 0, err
	}
	if head.Version != d.Base {
		return 0, s.conflict(ctx, d, head.Version)
	}
	writes, err := s.approval(d, author, headRow, draftRow)
	if err != nil {
		return 0, err
	}
	version := d.Base + 1
	err = s.settle(ctx, writes, func(ctx context.Context) (bool, error) {
		return s.tookEffect(ctx, name, version, id)
	})
	if isRowConflict(err) {
		return s.lostRace(ctx, d)
	}
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Publish edits and approves in one step, for tools that set up a deployment.
func (s *Store) Publish(ctx context.Context, base uint64, author string, t *Template) (uint64, error) {
	d, err := s.Edit(ctx, base, author, t)
	if err != nil {
		return 0, err
	}
	return s.Approve(ctx, t.Name, d.ID, author)
}

// approval returns the writes that put a draft in force. The head row makes
// the commit conditional on the base version, and the draft row on the draft
// not having been approved.
func (s *Store) approval(d Draft, author string, headRow, draftRow uint64) ([]infra.Write, error) {
	version := d.Base + 1
	body := *d.Template
	body.Version = version
	entry := HistoryEntry{
		Version:    version,
		Base:       d.Base,
		DraftID:    d.ID,
		Author:     d.Author,
		ApprovedBy: author,
		ApprovedAt: s.opts.Now().UTC(),
	}
	head := Head{Name: d.Name, Version: version, DraftID: d.ID, Attempt: s.opts.NewID()}
	rows := []struct {
		key    string
		value  any
		expect uint64
	}{
		{headKey(d.Name), head, headRow},
		{bodyKey(d.Name, version), &body, infra.ExpectAbsent},
		{entryKey(d.Name, version), entry, infra.ExpectAbsent},
	}
	writes := make([]infra.Write, 0, len(rows)+1)
	for _, r := range rows {
		value, err := json.Marshal(r.value)
		if err != nil {
			return nil, invalid("template: %w", err)
		}
		writes = append(writes, infra.Write{Key: r.key, Value: value, Expect: r.expect})
	}
	return append(writes, infra.Write{Key: draftKey(d.Name, d.ID), Delete: true, Expect: draftRow}), nil
}

// settle commits writes and finds out whether they took effect when the answer
// is lost. The writes expect row versions that they change themselves, so that
// of all tries at most one can take effect, a delayed one included; that makes
// it safe to try again. Once one try was lost, no later refusal proves that
// the first one had, or will have, no effect; only done and a conflict do.
func (s *Store) settle(ctx context.Context, writes []infra.Write, done func(context.Context) (bool, error)) error {
	unknown := false
	var last error
	for try := range s.opts.Tries {
		if try > 0 && !ctxtime.Sleep(ctx, s.opts.Pause) {
			break
		}
		last = s.commit(ctx, writes)
		if last == nil {
			return nil
		}
		if isRowConflict(last) && !unknown {
			return last
		}
		unknown = unknown || verdict.Of(last) != verdict.NotRun
		if !unknown {
			continue
		}
		ok, err := done(ctx)
		if err == nil && ok {
			return nil
		}
		// A conflict means that the rows have moved on: no try that is still
		// under way can take effect, and none has.
		if err == nil && isRowConflict(last) {
			return last
		}
	}
	if unknown {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "template: write not confirmed: %w", last)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "template: write: %w", last)
}

func (s *Store) commit(ctx context.Context, writes []infra.Write) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	_, err := s.table.Commit(infra.WithPriority(ctx, infra.PriorityAccept), writes...)
	return err
}

// tookEffect says whether a version came from a draft. The version's row is
// asked, not the head, which may have moved on since.
func (s *Store) tookEffect(ctx context.Context, name string, version uint64, draftID string) (bool, error) {
	row, ok, err := s.get(ctx, entryKey(name, version))
	if err != nil || !ok {
		return false, err
	}
	var e HistoryEntry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return false, corrupt(row.Key, err)
	}
	return e.DraftID == draftID, nil
}

// approvedBefore looks for the version that a missing draft became.
func (s *Store) approvedBefore(ctx context.Context, name, id string, absent error) (uint64, error) {
	history, err := s.History(ctx, name)
	if err != nil {
		return 0, err
	}
	for _, e := range history {
		if e.DraftID == id {
			return e.Version, nil
		}
	}
	return 0, absent
}

// lostRace tells who won where a commit met a conflict: another call that
// approved the same draft, or another draft.
func (s *Store) lostRace(ctx context.Context, d Draft) (uint64, error) {
	version, err := s.approvedBefore(ctx, d.Name, d.ID, nil)
	if version > 0 {
		return version, nil
	}
	head, headErr := s.Head(ctx, d.Name)
	if err = errors.Join(err, headErr); err != nil {
		// Another call may have put the same draft in force.
		return 0, verdict.Wrap(verdict.MayHaveRun, err)
	}
	return 0, s.conflict(ctx, d, head.Version)
}

// conflict returns a *ConflictError with both diffs. A diff that can't be read
// is left out: the conflict is certain without it.
func (s *Store) conflict(ctx context.Context, d Draft, head uint64) error {
	e := &ConflictError{Name: d.Name, Base: d.Base, Head: head}
	base := new(Template)
	if d.Base > 0 {
		found, err := s.Get(ctx, d.Name, d.Base)
		if err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "%w", e)
		}
		base = found
	}
	e.Ours = Diff(base, d.Template)
	if current, err := s.Get(ctx, d.Name, head); err == nil {
		e.Theirs = Diff(base, current)
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "%w", e)
}

func isRowConflict(err error) bool {
	var conflict *infra.ConflictError
	return errors.As(err, &conflict)
}
