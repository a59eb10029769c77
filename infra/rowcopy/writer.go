package rowcopy

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// RenewPeriod is how often the writer should learn of the current version of the
	// feed; it renews the header with each. The store retains changes for 20 s, less at
	// times. The header is at most 5 s old then: this, and a stepPeriod to notice the
	// version before the header was written and one after. So entries may start up to
	// 15 s after the writer was killed.
	RenewPeriod = 3 * time.Second
	// minRenewPeriod is the least time between two renewals, where versions are
	// learned more often.
	minRenewPeriod = RenewPeriod - stepPeriod
	// stepPeriod is the time between two looks at the rows, and so the least time
	// between two contents. A look makes no call.
	stepPeriod = time.Second
	// writeTimeout bounds one call of a Writer.
	writeTimeout = 1500 * time.Millisecond
)

// WriterOptions configure a Writer.
type WriterOptions struct {
	Options
	// Rows returns the current rows in the order of their keys and the version up to
	// which they are complete, and false while they may be out of date.
	Rows func() ([]infra.Row, uint64, bool)
	// Held reports whether this process is the one that writes. It saves calls only:
	// copies stay whole if several processes write.
	Held func() bool
	// OnBegin is called when this process begins to keep the copy. It may be nil.
	OnBegin func()
}

// Writer keeps the copy up to date. It makes no call before the rows are large for the
// first time.
type Writer struct {
	opt WriterOptions

	// writing is set while this process keeps a copy up to date.
	writing atomic.Bool
	// wasLarge is set if there may be a copy, because the rows were large at some
	// time.
	wasLarge bool
	// content is that of the rows with the fingerprint, current or not.
	content     content
	fingerprint uint64
	// scanned holds the versions of the rows of the copy by key, or is nil if they
	// aren't known. header is that of the copy, if it is whole.
	scanned   map[string]uint64
	header    header
	whole     bool
	renewedAt time.Time
}

// NewWriter returns a Writer, which does nothing before Run.
func NewWriter(o WriterOptions) *Writer {
	o.Options = o.Options.withDefaults()
	return &Writer{opt: o}
}

// Run runs until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for ctxtime.Sleep(ctx, stepPeriod) {
		w.Step(ctx, time.Now())
	}
}

// Writing reports whether this process keeps a copy up to date, and therefore needs a
// recent version of the feed. It is safe for concurrent use with Run.
func (w *Writer) Writing() bool { return w.writing.Load() }

// action is what a Writer does next.
type action int

const (
	nothing action = iota
	read
	write
	renew
	remove
)

// Step makes at most one call.
func (w *Writer) Step(ctx context.Context, now time.Time) {
	rows, version, ok := w.opt.Rows()
	if !ok {
		return
	}
	large := wireBytes(rows) >= MinWireBytes
	w.wasLarge = w.wasLarge || large
	held := w.opt.Held()
	if writing := large && held; w.writing.Swap(writing) != writing && writing && w.opt.OnBegin != nil {
		w.opt.OnBegin()
	}
	if !held {
		w.scanned = nil
		return
	}
	if !w.wasLarge {
		return
	}
	if large && !w.encode(rows) {
		large = false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	switch w.next(now, large, version) {
	case read:
		err = w.scan(ctx)
	case write:
		err = w.commit(ctx, now, version, eventWritten)
	case renew:
		err = w.commit(ctx, now, version, eventRenewed)
	case remove:
		err = w.remove(ctx)
	case nothing:
		w.wasLarge = large || len(w.scanned) > 0
	}
	if err != nil && ctx.Err() != context.Canceled {
		// The copy may be that of another writer, or the lost answer that of a commit.
		w.scanned = nil
		w.opt.Count(eventFailed)
		w.opt.Log.WithError(err).Warn("rowcopy: copy can't be written.")
	}
}

// next decides what to do for rows of which a copy is wanted or not.
func (w *Writer) next(now time.Time, wanted bool, version uint64) action {
	switch {
	case w.scanned == nil:
		return read
	case !wanted && len(w.scanned) > 0:
		return remove
	case !wanted:
		return nothing
	case w.whole && w.header.Version >= version:
		// Another writer has read more of the feed.
		return nothing
	case !w.whole || w.header.Hash != w.content.header.Hash:
		return write
	case now.Sub(w.renewedAt) >= minRenewPeriod:
		return renew
	}
	return nothing
}

// encode encodes the rows if they have changed. It returns false if no copy of them
// fits into a transaction.
func (w *Writer) encode(rows []infra.Row) bool {
	if f := fingerprint(rows); f != w.fingerprint || w.content.parts == nil {
		c, err := encode(rows)
		if err != nil {
			w.opt.Log.WithError(err).Error("rowcopy: rows can't be encoded.")
			return false
		}
		w.content, w.fingerprint = c, f
		if len(c.parts) > maxParts {
			w.opt.Log.WithFields(logrus.Fields{"rows": len(rows), "bytes": c.header.Bytes}).Warn("rowcopy: rows are too large for a copy.")
		}
	}
	return len(w.content.parts) <= maxParts
}

// scan reads the copy that another writer has left.
func (w *Writer) scan(ctx context.Context) error {
	rows, err := w.opt.Table.Scan(ctx, w.opt.Prefix)
	if err != nil {
		return err
	}
	w.scanned = make(map[string]uint64, len(rows))
	for _, r := range rows {
		w.scanned[r.Key] = r.Version
	}
	w.header, _, err = decode(w.opt.Prefix, rows)
	w.whole = err == nil
	return nil
}

// commit writes the header with a version and, unless the copy is only renewed, all
// parts. It fails if the header was written by another writer since it was read.
func (w *Writer) commit(ctx context.Context, now time.Time, version uint64, event string) error {
	h := w.header
	if event == eventWritten {
		h = w.content.header
	}
	h.Version = version
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	key := w.opt.Prefix + headerKey
	writes := []infra.Write{{Key: key, Value: value, Expect: w.scanned[key]}}
	if event == eventWritten {
		for i, part := range w.content.parts {
			writes = append(writes, infra.Write{Key: w.opt.Prefix + partKey(i), Value: part, Expect: infra.ExpectAny})
		}
		writes = append(writes, w.deletions(writes)...)
	}
	committed, err := w.opt.Table.Commit(ctx, writes...)
	if err != nil {
		return err
	}
	for _, write := range writes {
		w.scanned[write.Key] = committed
		if write.Delete {
			delete(w.scanned, write.Key)
		}
	}
	w.header, w.whole, w.renewedAt = h, true, now
	w.opt.Count(event)
	if event == eventWritten {
		w.opt.Log.WithFields(logrus.Fields{"rows": h.Rows, "parts": h.Parts, "bytes": h.Bytes, "version": version}).Info("rowcopy: copy written.")
	}
	return nil
}

// deletions returns writes that delete the rows of the copy which others don't write.
func (w *Writer) deletions(others []infra.Write) []infra.Write {
	written := make(map[string]bool, len(others))
	for _, o := range others {
		written[o.Key] = true
	}
	var out []infra.Write
	for key, version := range w.scanned {
		if !written[key] {
			out = append(out, infra.Write{Key: key, Delete: true, Expect: version})
		}
	}
	return out
}

func (w *Writer) remove(ctx context.Context) error {
	if _, err := w.opt.Table.Commit(ctx, w.deletions(nil)...); err != nil {
		return err
	}
	w.scanned, w.whole = map[string]uint64{}, false
	w.opt.Count(eventDeleted)
	w.opt.Log.Info("rowcopy: copy deleted.")
	return nil
}
