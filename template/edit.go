package template

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Edit records t as a draft based on version base. The version in force does
// not change. The error is a *ConflictError when base is not the head.
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
		return Draft{}, s.newConflictError(ctx, d, head.Version)
	}
	return d, s.insertDraft(ctx, d)
}

// insertDraft writes a draft. Its ID is new, so only an earlier attempt of the
// same call can cause a conflict.
func (s *Store) insertDraft(ctx context.Context, d Draft) error {
	value, err := json.Marshal(d)
	if err != nil {
		return invalid("draft: %w", err)
	}
	w := infra.Write{Key: draftKey(d.Name, d.ID), Value: value, Expect: infra.ExpectAbsent}
	return s.commitWithRetries(ctx, []infra.Write{w}, func(ctx context.Context) (bool, error) {
		_, ok, err := s.get(ctx, w.Key)
		return ok, err
	})
}

// Approve puts a draft in force as a new version and returns the version
// number. If the draft has been approved before, Approve returns the number of
// the version that it became. The error is a *ConflictError when the head is no
// longer the base of the draft. An error with verdict.MayHaveRun means that the
// draft may still come into force.
func (s *Store) Approve(ctx context.Context, name, id, author string) (uint64, error) {
	head, headRowVersion, err := s.head(ctx, name)
	if err != nil {
		return 0, err
	}
	d, draftRowVersion, err := s.draft(ctx, name, id)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return s.approvedBefore(ctx, name, id, err)
	}
	if err != nil {
		return 0, err
	}
	if head.Version != d.Base {
		return 0, s.newConflictError(ctx, d, head.Version)
	}
	writes, err := s.approvalWrites(d, author, headRowVersion, draftRowVersion)
	if err != nil {
		return 0, err
	}
	version := d.Base + 1
	err = s.commitWithRetries(ctx, writes, func(ctx context.Context) (bool, error) {
		return s.isVersionFromDraft(ctx, name, version, id)
	})
	if isRowConflict(err) {
		return s.resolveRowConflict(ctx, d)
	}
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Publish records t as a draft and approves it, for tools that set up a
// deployment.
func (s *Store) Publish(ctx context.Context, base uint64, author string, t *Template) (uint64, error) {
	d, err := s.Edit(ctx, base, author, t)
	if err != nil {
		return 0, err
	}
	return s.Approve(ctx, t.Name, d.ID, author)
}

// approvalWrites returns the writes that put a draft in force. The commit is
// conditional on the head row, so that the base is still the version in force,
// and on the draft row, so that the draft has not been approved yet.
func (s *Store) approvalWrites(d Draft, author string, headRowVersion, draftRowVersion uint64) ([]infra.Write, error) {
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
		{headKey(d.Name), head, headRowVersion},
		{bodyKey(d.Name, version), &body, infra.ExpectAbsent},
		{historyKey(d.Name, version), entry, infra.ExpectAbsent},
	}
	writes := make([]infra.Write, 0, len(rows)+1)
	for _, r := range rows {
		value, err := json.Marshal(r.value)
		if err != nil {
			return nil, invalid("template: %w", err)
		}
		writes = append(writes, infra.Write{Key: r.key, Value: value, Expect: r.expect})
	}
	return append(writes, infra.Write{Key: draftKey(d.Name, d.ID), Delete: true, Expect: draftRowVersion}), nil
}

// commitWithRetries commits writes and retries failed attempts. If the answer
// is lost, it calls tookEffect, which reports whether the writes took effect.
// The writes expect row versions that they change themselves. At most one of
// all attempts can therefore take effect, including a delayed one, which makes
// it safe to retry.
//
// Once the result of an attempt is unknown, a later refusal does not prove that
// this attempt had, or will have, no effect. Only tookEffect or a conflict
// proves the result.
func (s *Store) commitWithRetries(ctx context.Context, writes []infra.Write, tookEffect func(context.Context) (bool, error)) error {
	mayHaveRun := false
	var lastErr error
	for attempt := range s.opts.MaxAttempts {
		if attempt > 0 && !ctxtime.Sleep(ctx, s.opts.RetryDelay) {
			break
		}
		lastErr = s.commit(ctx, writes)
		if lastErr == nil {
			return nil
		}
		if isRowConflict(lastErr) && !mayHaveRun {
			return lastErr
		}
		mayHaveRun = mayHaveRun || verdict.Of(lastErr) != verdict.NotRun
		if !mayHaveRun {
			continue
		}
		ok, err := tookEffect(ctx)
		if err == nil && ok {
			return nil
		}
		// A conflict means that the row versions have changed: no attempt that
		// is still in progress can take effect, and none has.
		if err == nil && isRowConflict(lastErr) {
			return lastErr
		}
	}
	if mayHaveRun {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "template: write not confirmed: %w", lastErr)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "template: write: %w", lastErr)
}

func (s *Store) commit(ctx context.Context, writes []infra.Write) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	_, err := s.table.Commit(infra.WithPriority(ctx, infra.PriorityAccept), writes...)
	return err
}

// isVersionFromDraft reports whether a version came from a draft. It reads the
// history row of the version because the head may have changed since.
func (s *Store) isVersionFromDraft(ctx context.Context, name string, version uint64, draftID string) (bool, error) {
	row, ok, err := s.get(ctx, historyKey(name, version))
	if err != nil || !ok {
		return false, err
	}
	var e HistoryEntry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return false, corruptRow(row.Key, err)
	}
	return e.DraftID == draftID, nil
}

// approvedBefore returns the version that a missing draft became, or the error
// absent if there is none.
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

// resolveRowConflict returns the result of Approve after its commit failed with
// a conflict: the version if another call approved the same draft, or a
// *ConflictError if another draft was approved.
func (s *Store) resolveRowConflict(ctx context.Context, d Draft) (uint64, error) {
	version, err := s.approvedBefore(ctx, d.Name, d.ID, nil)
	if version > 0 {
		return version, nil
	}
	head, headErr := s.Head(ctx, d.Name)
	if err = errors.Join(err, headErr); err != nil {
		// Another call may have put the same draft in force.
		return 0, verdict.Wrap(verdict.MayHaveRun, err)
	}
	return 0, s.newConflictError(ctx, d, head.Version)
}

// newConflictError returns a *ConflictError with both diffs. It omits a diff
// whose versions cannot be read, since the conflict is certain without it.
func (s *Store) newConflictError(ctx context.Context, d Draft, head uint64) error {
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
