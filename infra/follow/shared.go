package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// peerWait is how long a call to a peer waits for a change. An unresponsive
	// peer delays a change by at most this and peerCallSlack.
	peerWait = 1500 * time.Millisecond
	// peerCallSlack plus the wait is the timeout of the call.
	peerCallSlack = 300 * time.Millisecond
	// peerBackoff is how long a peer is not called after a failure.
	peerBackoff = 3 * time.Second
	// minDirectWait is the shortest wait for a change at the service after a
	// call to a peer failed.
	minDirectWait = 50 * time.Millisecond
)

// SharedOptions configures a Shared.
type SharedOptions struct {
	// Name is used in log lines.
	Name string
	// Readers returns the peers that read the feed for this process, in order
	// of preference, or none if this process reads the service directly.
	Readers func() []string
	// ChangesFrom returns the changes that History.Since returns at a peer.
	ChangesFrom func(ctx context.Context, peer string, after uint64, wait time.Duration) (infra.Update, error)
	// ReaderWait bounds the wait of a direct call. Others may read through this
	// process, and take the feed for unavailable if it confirms nothing for
	// longer; and while no reader is available, a call that meets an outage of
	// the service must not hang long after it. Nil means no bound.
	ReaderWait func() time.Duration
	Log        *logrus.Entry
}

// Shared is an infra.Feed that reads changes through peers, so that the load
// on the service grows with the number of readers instead of the number of
// processes. While no peer is available it reads the service directly.
// Snapshots always come from the service. It is safe for concurrent use.
type Shared struct {
	infra.Feed
	opt SharedOptions

	mu sync.Mutex
	// backedOffUntil is the time until which a peer is not called, by ID.
	backedOffUntil map[string]time.Time
}

// NewShared returns a Shared that falls back to direct, the feed of the
// service.
func NewShared(direct infra.Feed, o SharedOptions) *Shared {
	return &Shared{Feed: direct, opt: o, backedOffUntil: make(map[string]time.Time)}
}

// Changes implements infra.Feed.
func (s *Shared) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	peer, ok := s.firstAvailable(s.opt.Readers())
	if !ok {
		return s.direct(ctx, after, wait)
	}
	began := time.Now()
	u, err := s.callPeer(ctx, peer, after, min(wait, peerWait))
	switch {
	case err == nil, ctx.Err() != nil:
		return u, err
	case errors.Is(err, infra.ErrCompacted):
		return u, err
	}
	s.backOff(peer, err)
	// If the service itself is down, and the peer is not the only one that
	// can't read it, this call fails as well and the follower records that.
	return s.direct(ctx, after, max(minDirectWait, wait-time.Since(began)))
}

// direct reads the service. A call that meets an outage may never be answered, so
// it ends soon after the time that it may wait for a change.
func (s *Shared) direct(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	if s.opt.ReaderWait != nil {
		wait = min(wait, s.opt.ReaderWait())
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return s.Feed.Changes(ctx, after, wait)
}

func (s *Shared) callPeer(ctx context.Context, peer string, after uint64, wait time.Duration) (infra.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerCallSlack)
	defer cancel()
	return s.opt.ChangesFrom(ctx, peer, after, wait)
}

// firstAvailable returns the first reader that is not backed off.
func (s *Shared) firstAvailable(readers []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, id := range readers {
		if now.After(s.backedOffUntil[id]) {
			delete(s.backedOffUntil, id)
			return id, true
		}
	}
	return "", false
}

func (s *Shared) backOff(peer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backedOffUntil[peer] = time.Now().Add(peerBackoff)
	s.opt.Log.WithFields(logrus.Fields{"feed": s.opt.Name, "member": peer}).WithError(err).Info("follow: feed call to peer failed.")
}
