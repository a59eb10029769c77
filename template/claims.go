package template

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// claim notes the version that a peer shows; it returns true where that is a
// higher one than was known.
func (w *Watcher) claim(version uint64, from string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.known() {
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
	w.claimedAt, w.behind = time.Now(), true
	return true
}

// drop forgets what a peer showed, where that is still version above the
// highest one held.
func (w *Watcher) drop(from string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claims[from] == version && version > w.known() {
		w.log.WithFields(logrus.Fields{"version": version, "peer": from}).Warn("template: version shown by a peer not found.")
		delete(w.claims, from)
	}
	w.caughtUpLocked()
}

// forgetClaims forgets the claims that the highest version held fulfils.
func (w *Watcher) forgetClaims() {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.claims, func(_ string, version uint64) bool { return version <= w.known() })
	w.caughtUpLocked()
}

func (w *Watcher) caughtUpLocked() {
	if len(w.claims) == 0 && w.head <= w.known() {
		w.behind = false
	}
}

// claimed is a version and a peer that shows it.
type claimed struct {
	version uint64
	peer    string
}

// open returns the claims, highest first.
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

// follow fetches the versions that are shown, until ctx ends.
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
			if len(w.open()) > 0 && !ctxtime.Sleep(ctx, retryPause) {
				return ctx.Err()
			}
		}
		w.updateReady()
	}
}

// catchUp asks the table for the highest version shown, unless it is known to
// be down, and then the peers.
func (w *Watcher) catchUp(ctx context.Context) {
	claims := w.open()
	absent := uint64(math.MaxUint64)
	if len(claims) > 0 && !w.isTableDown() && w.fetchTable(ctx, claims[0].version) {
		absent = claims[0].version
	}
	w.askPeers(ctx, claims, absent)
}

// askPeers asks each peer for the version it showed, one after the other but
// without waiting long for any, until the highest version is held. A version
// that its own peer does not have, or that the table lacks (those from absent
// on) and the peer does not give, is not believed any longer.
func (w *Watcher) askPeers(ctx context.Context, claims []claimed, absent uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asked sync.WaitGroup
	for i, c := range claims {
		asked.Go(func() {
			if !ctxtime.Sleep(ctx, time.Duration(i)*hedgePause) || c.version <= w.known() {
				return
			}
			refuted := w.fetchPeer(ctx, c)
			switch {
			case claims[0].version <= w.known():
				cancel()
			case refuted || c.version >= absent:
				w.drop(c.peer, c.version)
			}
		})
	}
	asked.Wait()
}

// fetchPeer applies a version from the peer that showed it. It returns true
// when the peer answered that it has none, or with something else.
func (w *Watcher) fetchPeer(ctx context.Context, c claimed) (refuted bool) {
	if w.opts.Fetch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	t, err := w.opts.Fetch(ctx, c.peer, w.name, c.version)
	if err != nil {
		w.log.WithError(err).WithFields(logrus.Fields{"version": c.version, "peer": c.peer}).
			Warn("template: version not fetched from peer.")
		return verdict.CodeOf(err) == verdict.CodeNotFound
	}
	return !w.apply(t, c.version, c.peer)
}

func (w *Watcher) isTableDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableDown
}
