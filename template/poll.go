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

// readTable reads the head, and has a higher version fetched. The entry counts
// as having reached the table when it sent the request: a process that was
// paused since then knows nothing newer.
func (w *Watcher) readTable(ctx context.Context) {
	sent := time.Now()
	head, err := w.store.Head(ctx, w.name)
	if err == nil && w.claim(head.Version, tableClaim) {
		w.signal()
	}
	w.noteTable(sent, err)
	if err == nil && head.Version < w.known() {
		w.log.WithFields(logrus.Fields{"version": w.known(), "head": head.Version}).
			Warn("template: table shows an older version, kept.")
	}
}

func (w *Watcher) noteTable(sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !w.tableDown {
		w.log.WithError(err).Warn("template: table not reached.")
	}
	w.tableDown = err != nil
	if err == nil {
		w.tableSeen = true
		w.touchLocked(sent)
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
