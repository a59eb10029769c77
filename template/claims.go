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

// recordClaim records the version that a peer reports. It returns true if the
// version is a new claim above the highest version held.
func (w *Watcher) recordClaim(version uint64, from string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.highestVersion() {
		delete(w.claims, from)
		w.clearBehindLocked()
		return false
	}
	if w.claims[from] == version {
		return false
	}
	if _, exists := w.claims[from]; !exists && len(w.claims) >= maxClaims {
		return false
	}
	w.claims[from] = version
	w.claimedAt, w.behind = time.Now(), true
	return true
}

// dropClaim removes the claim of a peer, if the claim is still for the given
// version and that version is above the highest one held.
func (w *Watcher) dropClaim(from string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.claims[from] == version && version > w.highestVersion() {
		w.log.WithFields(logrus.Fields{"version": version, "peer": from}).Warn("template: version reported by peer not found.")
		delete(w.claims, from)
	}
	w.clearBehindLocked()
}

// dropFulfilledClaims removes the claims up to the highest version held.
func (w *Watcher) dropFulfilledClaims() {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.claims, func(_ string, version uint64) bool { return version <= w.highestVersion() })
	w.clearBehindLocked()
}

// clearBehindLocked clears behind if neither a claim nor the head is above the
// highest version held.
func (w *Watcher) clearBehindLocked() {
	if len(w.claims) == 0 && w.head <= w.highestVersion() {
		w.behind = false
	}
}

// peerClaim is a version and the peer that reported it.
type peerClaim struct {
	version uint64
	peer    string
}

// sortedClaims returns the claims in descending order of their versions.
func (w *Watcher) sortedClaims() []peerClaim {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]peerClaim, 0, len(w.claims))
	for peer, version := range w.claims {
		list = append(list, peerClaim{version, peer})
	}
	slices.SortFunc(list, func(a, b peerClaim) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.peer, b.peer))
	})
	return list
}

// fetchClaims fetches the versions that peers report until ctx ends.
func (w *Watcher) fetchClaims(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(w.sortedClaims()) > 0 {
			w.catchUp(ctx)
			w.updateReady()
			if len(w.sortedClaims()) > 0 && !ctxtime.Sleep(ctx, retryDelay) {
				return ctx.Err()
			}
		}
		w.updateReady()
	}
}

// catchUp fetches the highest reported version from the table, unless the last
// read of the table failed, and then the open claims from the peers.
func (w *Watcher) catchUp(ctx context.Context) {
	claims := w.sortedClaims()
	missingFrom := uint64(math.MaxUint64)
	if len(claims) > 0 && !w.isTableDown() && w.fetchFromTable(ctx, claims[0].version) {
		missingFrom = claims[0].version
	}
	w.fetchFromPeers(ctx, claims, missingFrom)
}

// fetchFromPeers fetches from each peer the version that it reported, until the
// highest of these versions is held. It starts the fetches in order, each
// hedgeDelay after the previous one.
//
// It drops the claim of a peer that does not have the version that it reported.
// Versions from missingFrom on are absent from the table, so it drops the claim
// of such a version also if the fetch from the peer fails for any other reason.
func (w *Watcher) fetchFromPeers(ctx context.Context, claims []peerClaim, missingFrom uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var fetches sync.WaitGroup
	for i, c := range claims {
		fetches.Go(func() {
			if !ctxtime.Sleep(ctx, time.Duration(i)*hedgeDelay) || c.version <= w.highestVersion() {
				return
			}
			refuted := w.fetchFromPeer(ctx, c)
			switch {
			case claims[0].version <= w.highestVersion():
				cancel()
			case refuted || c.version >= missingFrom:
				w.dropClaim(c.peer, c.version)
			}
		})
	}
	fetches.Wait()
}

// fetchFromPeer fetches a version from the peer that reported it and applies
// it. It returns true when the peer answered that it does not have the version,
// or returned a template that was rejected.
func (w *Watcher) fetchFromPeer(ctx context.Context, c peerClaim) (refuted bool) {
	if w.opts.Fetch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	t, err := w.opts.Fetch(ctx, c.peer, w.name, c.version)
	if err != nil {
		w.log.WithError(err).WithFields(logrus.Fields{"version": c.version, "peer": c.peer}).
			Warn("template: fetch of version from peer failed.")
		return verdict.CodeOf(err) == verdict.CodeNotFound
	}
	return !w.apply(t, c.version, c.peer)
}

func (w *Watcher) isTableDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tableDown
}
