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
	// askWait is how long a peer waits for a change. It is what a peer that
	// went silent delays a change by, at most.
	askWait = 1500 * time.Millisecond
	// askSlack is added to it to bound the call.
	askSlack = 300 * time.Millisecond
	// askAgain is how long a peer that failed is not asked.
	askAgain = 3 * time.Second
	// leastWait is what is left to wait at the service after a peer failed.
	leastWait = 50 * time.Millisecond
)

// SharedOptions set up a Shared.
type SharedOptions struct {
	// Name is used in log lines.
	Name string
	// Readers returns the peers that read the feed for this process, the first
	// to be asked first, or none where it reads by itself.
	Readers func() []string
	// Ask asks a peer's History.
	Ask func(ctx context.Context, peer string, after uint64, wait time.Duration) (infra.Update, error)
	Log *logrus.Entry
}

// Shared is a Feed that is read through peers, so that the calls of the
// service grow with the readers instead of all processes. Where no peer
// answers it reads the service by itself. It is safe for concurrent use.
type Shared struct {
	infra.Feed
	opt SharedOptions

	mu sync.Mutex
	// failed is until when a peer is not asked.
	failed map[string]time.Time
}

// NewShared returns a Shared over the feed itself.
func NewShared(direct infra.Feed, o SharedOptions) *Shared {
	return &Shared{Feed: direct, opt: o, failed: make(map[string]time.Time)}
}

// Changes implements infra.Feed.
func (s *Shared) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	peer, ok := s.peer()
	if !ok {
		return s.Feed.Changes(ctx, after, wait)
	}
	began := time.Now()
	u, err := s.ask(ctx, peer, after, min(wait, askWait))
	switch {
	case err == nil, ctx.Err() != nil:
		return u, err
	case errors.Is(err, infra.ErrCompacted):
		return u, err
	}
	s.fails(peer, err)
	// If the service was away for all, and not for the peer alone, this fails as
	// well, and the follower learns of it.
	return s.Feed.Changes(ctx, after, max(leastWait, wait-time.Since(began)))
}

func (s *Shared) ask(ctx context.Context, peer string, after uint64, wait time.Duration) (infra.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askSlack)
	defer cancel()
	return s.opt.Ask(ctx, peer, after, wait)
}

// peer returns the first reader that didn't fail of late.
func (s *Shared) peer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, id := range s.opt.Readers() {
		if now.After(s.failed[id]) {
			delete(s.failed, id)
			return id, true
		}
	}
	return "", false
}

func (s *Shared) fails(peer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[peer] = time.Now().Add(askAgain)
	s.opt.Log.WithFields(logrus.Fields{"feed": s.opt.Name, "member": peer}).WithError(err).Info("follow: feed not had from a peer.")
}
