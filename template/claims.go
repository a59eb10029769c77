package template

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// claim notes the version that a peer shows; it returns true where that is a
// higher one than was known.
func (w *Watcher) claim(version uint64, from string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.Version() {
		delete(w.claims, from)
		w.caughtUpLocked()
		return false
	}
	if w.claims[from] == version {
		return false
	}
	if _, known := w.claims[from]; !known && len(w.claims) >= maxClaims {
		return false
	}
	w.claims[from] = version
	if w.behind.IsZero() {
		w.behind = time.Now()
	}
	return true
}

// drop forgets what a peer showed, where that is still version.
func (w *Watcher) drop(from string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claims[from] == version {
		delete(w.claims, from)
	}
	w.caughtUpLocked()
}

// forgetLocked forgets the claims that the current version fulfils.
func (w *Watcher) forgetLocked() {
	maps.DeleteFunc(w.claims, func(_ string, version uint64) bool { return version <= w.Version() })
	w.caughtUpLocked()
}

func (w *Watcher) caughtUpLocked() {
	if len(w.claims) == 0 {
		w.behind = time.Time{}
	}
}

// claimed is a version and a peer that shows it.
type claimed struct {
	version uint64
	peer    string
}

// open returns the claims above the current version, highest first.
func (w *Watcher) open() []claimed {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]claimed, 0, len(w.claims))
	for peer, version := range w.claims {
		list = append(list, claimed{version, peer})
	}
	slices.SortFunc(list, func(a, b claimed) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.peer, b.peer))
	})
	return list
}

// follow fetches the versions that peers show, until ctx ends.
func (w *Watcher) follow(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(w.open()) > 0 {
			w.catchUp(ctx)
			w.updateReady()
			if len(w.open()) > 0 && !pause(ctx, retryPause) {
				return ctx.Err()
			}
		}
	}
}

// catchUp asks for each version shown, the highest first. The table goes first
// unless it is known to be down; the peer that showed the version goes second.
// What neither has is not believed any longer.
func (w *Watcher) catchUp(ctx context.Context) {
	for _, c := range w.open() {
		if c.version <= w.Version() {
			continue
		}
		absent := false
		if !w.isTableDown() {
			absent = w.fetchTable(ctx, c.version)
		}
		if c.version <= w.Version() || w.fetchPeer(ctx, c) {
			continue
		}
		if absent {
			w.log.WithFields(logrus.Fields{"version": c.version, "peer": c.peer}).
				Warn("version shown by a peer does not exist.")
			w.drop(c.peer, c.version)
		}
	}
}

func (w *Watcher) fetchPeer(ctx context.Context, c claimed) bool {
	if w.opts.Fetch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	t, err := w.opts.Fetch(ctx, c.peer, w.name, c.version)
	if err != nil {
		w.log.WithError(err).WithFields(logrus.Fields{"version": c.version, "peer": c.peer}).
			Warn("version not fetched from peer.")
		return false
	}
	return w.apply(t, c.version, c.peer)
}

func (w *Watcher) isTableDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableDown
}
