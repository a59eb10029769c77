package template

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// poll reads the head once a period.
func (w *Watcher) poll(ctx context.Context) error {
	ticker := time.NewTicker(w.opts.Poll)
	defer ticker.Stop()
	for {
		w.readTable(ctx)
		w.updateReady()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readTable reads the head, and the version it names where that is higher. The
// table's word counts from when the request was sent: a process that was paused
// since then knows nothing newer.
func (w *Watcher) readTable(ctx context.Context) {
	sent := time.Now()
	head, err := w.store.Head(ctx, w.name)
	w.noteTable(head, err)
	if err != nil {
		return
	}
	if head.Version > w.known() {
		w.fetchTable(ctx, head.Version)
	}
	if head.Version < w.known() {
		w.log.WithFields(logrus.Fields{"version": w.known(), "head": head.Version}).
			Warn("template: table shows an older version, kept.")
	}
	w.compareHead(sent, head.Version)
}

// noteTable notes whether the table was reached, and what it showed.
func (w *Watcher) noteTable(head Head, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !w.tableDown {
		w.log.WithError(err).Warn("template: table not reached.")
	}
	w.tableDown = err != nil
	if err != nil {
		return
	}
	w.head = max(w.head, head.Version)
	if w.head > w.known() {
		w.behind = true
	}
}

// compareHead notes whether the version held is that of the head read. If it
// is, the table confirms it as of when the request was sent. No version that a
// peer showed before has been approved then, and the entry is not behind by it;
// the peer is asked for it all the same.
func (w *Watcher) compareHead(sent time.Time, head uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if head > w.known() {
		return
	}
	w.confirmedTable = sent
	if w.head <= w.known() && w.claimedAt.Before(sent) {
		w.behind = false
	}
}

// fetchTable applies a version from the table. It returns true when the table
// answered that there is none.
func (w *Watcher) fetchTable(ctx context.Context, version uint64) (absent bool) {
	t, err := w.store.Get(ctx, w.name, version)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return true
	}
	if err != nil {
		w.log.WithError(err).WithField("version", version).Warn("template: version not read.")
		return false
	}
	w.apply(t, version, "table")
	return false
}
