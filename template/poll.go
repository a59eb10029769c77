package template

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// poll reads the head once per interval until ctx ends.
func (w *Watcher) poll(ctx context.Context) error {
	ticker := time.NewTicker(w.opts.PollInterval)
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

// readTable reads the head, and fetches the version that it names if that is
// higher than the one held. The head is valid as of the time at which the
// request was sent, because a process that was paused afterwards has no newer
// information.
func (w *Watcher) readTable(ctx context.Context) {
	sent := time.Now()
	head, err := w.store.Head(ctx, w.name)
	w.recordTableRead(head, err)
	if err != nil {
		return
	}
	if head.Version > w.highestVersion() {
		w.fetchFromTable(ctx, head.Version)
	}
	if head.Version < w.highestVersion() {
		w.log.WithFields(logrus.Fields{"version": w.highestVersion(), "head": head.Version}).
			Warn("template: table names an older version, ignored.")
	}
	w.confirmByTable(sent, head.Version)
}

// recordTableRead records whether the table was reached, and the version that
// its head names.
func (w *Watcher) recordTableRead(head Head, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !w.tableDown {
		w.log.WithError(err).Warn("template: table unavailable.")
	}
	w.tableDown = err != nil
	if err != nil {
		return
	}
	w.head = max(w.head, head.Version)
	if w.head > w.highestVersion() {
		w.behind = true
	}
}

// confirmByTable records that the table confirmed the version held at the time
// at which the request was sent, unless the head names a higher version.
//
// A higher version that a peer reported before the request was sent had not
// been approved at that time, so the entry is not behind because of it. The
// version is still fetched from the peer.
func (w *Watcher) confirmByTable(sent time.Time, head uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if head > w.highestVersion() {
		return
	}
	w.confirmedTable = sent
	if w.head <= w.highestVersion() && w.claimedAt.Before(sent) {
		w.behind = false
	}
}

// fetchFromTable fetches a version from the table and applies it. It returns
// true when the table does not contain the version.
func (w *Watcher) fetchFromTable(ctx context.Context, version uint64) (absent bool) {
	t, err := w.store.Get(ctx, w.name, version)
	if verdict.CodeOf(err) == verdict.CodeNotFound {
		return true
	}
	if err != nil {
		w.log.WithError(err).WithField("version", version).Warn("template: read of version failed.")
		return false
	}
	w.apply(t, version, "table")
	return false
}
