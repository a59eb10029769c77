package job

import (
	"context"
	"fmt"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// commitAll commits the ops in one commit. An op that conflicts fails alone
// and the others go again; a commit whose answer is lost goes again until it
// is decided or ResolveTimeout has passed.
func (b *batcher) commitAll(ctx context.Context, ops []*op) {
	ctx = infra.WithPriority(ctx, highest(ops))
	deadline := time.Now().Add(b.opt.ResolveTimeout)
	for {
		if err := b.readMark(ctx); err != nil {
			b.answerAll(ops, err)
			return
		}
		ops = unsettled(ops)
		if len(ops) == 0 && len(b.open) == 0 {
			return
		}
		writes, owners := b.build(ops)
		ops = unsettled(ops)
		err := b.commit(ctx, ops, writes)
		if err == nil {
			return
		}
		if row, ok := infra.ConflictKey(err); ok {
			b.conflicted(row, owners, err)
			continue
		}
		if verdict.Of(err) != verdict.NotRun && time.Now().Before(deadline) && ctxtime.Sleep(ctx, b.opt.BatchInterval) {
			continue
		}
		b.answerAll(ops, err)
		return
	}
}

// build returns the writes of all ops, the mark first, and the op of each
// row. Ops that can't be built are answered.
func (b *batcher) build(ops []*op) ([]infra.Write, map[string]*op) {
	writes := []infra.Write{{}}
	owners := make(map[string]*op)
	for _, o := range ops {
		built, err := o.build()
		if err != nil {
			o.settled = true
			o.answer(err)
			continue
		}
		writes = append(writes, built...)
		for _, w := range built {
			owners[w.Key] = o
		}
	}
	return writes, owners
}

// commit sends one try. The mark comes first in it, so that a conflict
// elsewhere proves that the mark had not changed.
func (b *batcher) commit(ctx context.Context, ops []*op, writes []infra.Write) error {
	b.batch++
	value, err := encode(mark{Batch: b.batch})
	if err != nil {
		return err
	}
	writes[0] = infra.Write{Key: b.row, Value: value, Expect: b.version}
	ctx, cancel := context.WithTimeout(ctx, b.opt.TableTimeout)
	defer cancel()
	b.commits++
	version, err := b.table.Commit(ctx, writes...)
	if err == nil {
		b.version = version
		b.open = append(b.open, try{batch: b.batch, ops: ops})
		b.decide(b.batch, version)
		return nil
	}
	if verdict.Of(err) != verdict.NotRun {
		b.known = false
		b.open = append(b.open, try{batch: b.batch, ops: ops})
		for _, o := range ops {
			o.unsure = true
		}
	}
	return err
}

// readMark learns the mark's version where it is not known, and whether one
// of the open tries has taken effect.
func (b *batcher) readMark(ctx context.Context) error {
	if b.known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.opt.TableTimeout)
	defer cancel()
	row, ok, err := b.table.Get(ctx, b.row)
	if err != nil {
		return verdict.Wrap(verdict.NotRun, fmt.Errorf("job: mark not read: %w", err))
	}
	before := b.version
	b.known, b.version = true, row.Version
	if !ok && before != infra.ExpectAbsent {
		// Others took this process for dead and deleted the mark: what became
		// of the open tries can't be known any more.
		b.open = nil
	}
	if !ok || row.Version == before {
		return nil
	}
	var m mark
	if err := decode(row.Value, &m); err != nil {
		return verdict.Wrap(verdict.NotRun, err)
	}
	b.decide(m.Batch, row.Version)
	return nil
}

// decide settles all open tries once the mark shows the batch number.
func (b *batcher) decide(batch, version uint64) {
	open := b.open
	b.open = nil
	for _, t := range open {
		if t.batch != batch {
			continue
		}
		for _, o := range t.ops {
			o.settle(version)
		}
	}
}

// conflicted fails the op whose row was changed by another, or forgets the
// mark where that is what changed.
func (b *batcher) conflicted(row string, owners map[string]*op, err error) {
	if row == b.row {
		b.known = false
		return
	}
	o := owners[row]
	o.settled = true
	o.fail(err)
}

// answerAll gives ops the error of the commit.
func (b *batcher) answerAll(ops []*op, err error) {
	for _, o := range ops {
		o.fail(err)
	}
}

// fail gives the op an error, as may-have-run where an earlier try is not
// decided: it may have taken effect before others deleted the mark.
func (o *op) fail(err error) {
	if o.unsure {
		err = verdict.Wrap(verdict.MayHaveRun, err)
	}
	o.answer(err)
}
