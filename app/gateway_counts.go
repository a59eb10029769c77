package app

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// countsRetention is how long the counts of a failed entry are retained. It
	// covers several usage windows.
	countsRetention = time.Minute
	// maxCountsDelay is the maximum age of the counts in a state update on its
	// arrival.
	maxCountsDelay = 1500 * time.Millisecond
	// inheritTimeout bounds a call that fetches the counts of a peer.
	inheritTimeout = time.Second
	// inheritRetryDelay is the delay after a failed call.
	inheritRetryDelay = 200 * time.Millisecond
	// inheritPeers is the number of peers whose counts are fetched. One is not
	// enough, because it may itself have started only shortly before.
	inheritPeers = 2
	// maxInheritCalls bounds the number of calls.
	maxInheritCalls = 10
)

// inheritedCounts holds the counts of one incarnation as a peer reported them.
type inheritedCounts struct {
	started  map[int64]map[string]int
	mergedAt time.Time
}

// usage is a usage.Source. The second result is false while counts of the
// window may be missing.
func (p *peerView) usage(window int64, end time.Time) (usage.Counts, bool) {
	sum := make(usage.Counts)
	add := func(counts map[string]int) {
		for customer, n := range counts {
			sum[customer] += n
		}
	}
	add(p.counter.Recent(countsRetention)[window])
	missing := make(map[string]bool)
	for _, id := range p.registry.Live() {
		missing[id] = id != p.self
	}
	// A state update received more than maxCountsDelay after the end of the
	// window contains all of its counts, and so do counts pushed more than
	// maxPushDelay after it.
	since, pushedSince := time.Since(end)-maxCountsDelay, time.Since(end)-maxPushDelay
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.countsPushedAt {
		if time.Since(at) < pushedSince {
			missing[id] = false
		}
	}
	for key, last := range p.received {
		add(maxCounts(last.state.Started[window], p.inherited[key].started[window]))
		if time.Since(last.receivedAt) < since {
			missing[key.id] = false
		}
	}
	for key, counts := range p.inherited {
		if _, found := p.received[key]; !found {
			add(counts.started[window])
		}
	}
	for _, m := range missing {
		if m {
			return sum, false
		}
	}
	return sum, p.inheritDone
}

// maxCounts returns the larger count of each customer. That is the newer one,
// because the counts of one incarnation only grow.
func maxCounts(x, y map[string]int) map[string]int {
	if len(y) == 0 {
		return x
	}
	out := maps.Clone(y)
	for customer, n := range x {
		out[customer] = max(out[customer], n)
	}
	return out
}

// counts returns the received and inherited counts of each incarnation except
// this one, which publishes its own counts in its state updates.
func (p *peerView) counts() []peer.IncarnationCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]peer.IncarnationCounts, 0, len(p.received)+len(p.inherited))
	for key, last := range p.received {
		out = append(out, peer.IncarnationCounts{Member: key.id, Incarnation: key.incarnation, Started: last.state.Started})
	}
	for key, counts := range p.inherited {
		if _, found := p.received[key]; !found {
			out = append(out, peer.IncarnationCounts{Member: key.id, Incarnation: key.incarnation, Started: counts.started})
		}
	}
	return out
}

// receiveCounts records the counts that a peer pushed.
func (p *peerView) receiveCounts(from string, c peer.IncarnationCounts) {
	p.mergeInherited([]peer.IncarnationCounts{c})
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.countsPushedAt[from] = now
	for id, at := range p.countsPushedAt {
		if now.Sub(at) > countsRetention {
			delete(p.countsPushedAt, id)
		}
	}
}

// mergeInherited merges counts that a peer reported.
func (p *peerView) mergeInherited(reported []peer.IncarnationCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, counts := range p.inherited {
		if now.Sub(counts.mergedAt) > countsRetention {
			delete(p.inherited, key)
		}
	}
	for _, c := range reported {
		key := incarnationKey{c.Member, c.Incarnation}
		if key == (incarnationKey{p.self, p.incarnation}) {
			continue
		}
		started := maps.Clone(c.Started)
		for window, counts := range p.inherited[key].started {
			if started == nil {
				started = make(map[int64]map[string]int)
			}
			started[window] = maxCounts(counts, started[window])
		}
		p.inherited[key] = inheritedCounts{started: started, mergedAt: now}
	}
}

// inherit fetches from peers the counts of incarnations that ended before this
// process started, because this entry may have to report them.
func (p *peerView) inherit(ctx context.Context, query func(ctx context.Context, peer string) ([]peer.IncarnationCounts, error), log *logrus.Entry) {
	select {
	case <-p.registry.Scanned():
	case <-ctx.Done():
		return
	}
	defer p.setInheritDone()
	answered := make(map[string]bool)
	for range maxInheritCalls {
		id, found := p.randomUnqueriedPeer(answered)
		if !found {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, inheritTimeout)
		reported, err := query(callCtx, id)
		cancel()
		if err == nil {
			p.mergeInherited(reported)
			log.WithFields(logrus.Fields{"member": id, "incarnations": len(reported)}).Info("app: counts fetched from a peer.")
			if answered[id] = true; len(answered) == inheritPeers {
				return
			}
			continue
		}
		log.WithError(err).WithField("member", id).Debug("app: counts can't be fetched from a peer.")
		if !ctxtime.Sleep(ctx, inheritRetryDelay) {
			return
		}
	}
}

// randomUnqueriedPeer returns a random live peer that has not answered yet.
func (p *peerView) randomUnqueriedPeer(answered map[string]bool) (string, bool) {
	var ids []string
	for _, id := range p.registry.Live() {
		if id != p.self && !answered[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[rand.N(len(ids))], true
}

func (p *peerView) setInheritDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inheritDone = true
}
