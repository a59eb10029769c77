package job

import (
	"context"
	"fmt"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// commitAll commits the ops in one commit. If an op conflicts, only that op
// fails and the others are committed again. A commit whose reply was lost is
// retried until it is resolved or ResolveTimeout has passed.
func (b *batcher) commitAll(ctx context.Context, ops []*op) {
	ctx = infra.WithPriority(ctx, highestPriority(ops))
	deadline := time.Now().Add(b.opt.ResolveTimeout)
	for {
		if err := b.readMark(ctx); err != nil {
			b.failAll(ops, err)
			return
		}
		ops = unsettled(ops)
		if len(ops) == 0 && len(b.unresolved) == 0 {
			return
		}
		writes, opByRow := b.build(ops)
		ops = unsettled(ops)
		err := b.commit(ctx, ops, writes)
		if err == nil {
			return
		}
		if row, ok := infra.ConflictKey(err); ok {
			b.handleConflict(row, opByRow, err)
			continue
		}
		if verdict.Of(err) != verdict.NotRun && time.Now().Before(deadline) && ctxtime.Sleep(ctx, b.opt.BatchInterval) {
			continue
		}
		b.failAll(ops, err)
		return
	}
}

// build returns the writes of all ops, with the first element reserved for the
// mark, and the op of each row. Ops whose writes can't be built are settled
// with the error.
func (b *batcher) build(ops []*op) ([]infra.Write, map[string]*op) {
	writes := []infra.Write{{}}
	opByRow := make(map[string]*op)
	for _, o := range ops {
		built, err := o.build()
		if err != nil {
			o.settled = true
			o.reply(err)
			continue
		}
		writes = append(writes, built...)
		for _, w := range built {
			opByRow[w.Key] = o
		}
	}
	return writes, opByRow
}

// commit makes one attempt. The mark is its first write, so that a conflict on
// another row proves that the mark had not changed.
func (b *batcher) commit(ctx context.Context, ops []*op, writes []infra.Write) error {
	b.batch++
	value, err := encode(mark{Batch: b.batch})
	if err != nil {
		return err
	}
	writes[0] = infra.Write{Key: b.markRow, Value: value, Expect: b.markVersion}
	ctx, cancel := context.WithTimeout(ctx, b.opt.TableTimeout)
	defer cancel()
	b.commits++
	version, err := b.table.Commit(ctx, writes...)
	if err == nil {
		b.markVersion = version
		b.unresolved = append(b.unresolved, commitAttempt{batch: b.batch, ops: ops})
		b.resolveAttempts(b.batch, version)
		return nil
	}
	if verdict.Of(err) != verdict.NotRun {
		b.markKnown = false
		b.unresolved = append(b.unresolved, commitAttempt{batch: b.batch, ops: ops})
		for _, o := range ops {
			o.mayHaveRun = true
		}
	}
	return err
}

// readMark reads the mark if its version is not known, and settles the ops of
// the unresolved attempt that has taken effect, if any.
func (b *batcher) readMark(ctx context.Context) error {
	if b.markKnown {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.opt.TableTimeout)
	defer cancel()
	row, ok, err := b.table.Get(ctx, b.markRow)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, fmt.Errorf("job: mark not read: %w", err))
	}
	before := b.markVersion
	b.markKnown, b.markVersion = true, row.Version
	if !ok && before != infra.ExpectAbsent {
		// An adopter considered this process failed and deleted the mark. The
		// result of the unresolved attempts can no longer be determined.
		b.unresolved = nil
	}
	if !ok || row.Version == before {
		return nil
	}
	var m mark
	if err := decode(row.Value, &m); err != nil {
		return verdict.Wrap(verdict.NotRun, err)
	}
	b.resolveAttempts(m.Batch, row.Version)
	return nil
}

// resolveAttempts resolves all unresolved attempts: the one with the batch
// number of the mark has taken effect, the others can no longer do so.
func (b *batcher) resolveAttempts(batch, version uint64) {
	attempts := b.unresolved
	b.unresolved = nil
	for _, attempt := range attempts {
		if attempt.batch != batch {
			continue
		}
		for _, o := range attempt.ops {
			o.succeed(version)
		}
	}
}

// handleConflict fails the op whose row has changed. If the mark itself has
// changed, it marks the mark's version as unknown instead.
func (b *batcher) handleConflict(row string, opByRow map[string]*op, err error) {
	if row == b.markRow {
		b.markKnown = false
		return
	}
	o := opByRow[row]
	o.settled = true
	o.fail(err)
}

// failAll fails all ops with the error of the commit.
func (b *batcher) failAll(ops []*op, err error) {
	for _, o := range ops {
		o.fail(err)
	}
}

// fail returns err to the op's caller. If the reply of an earlier attempt was
// lost, the error gets verdict.MayHaveRun, since that attempt may have taken
// effect before an adopter deleted the mark.
func (o *op) fail(err error) {
	if o.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	o.reply(err)
}
