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
	// countsHorizon is how long the counts of an entry that is gone are kept,
	// several windows.
	countsHorizon = time.Minute
	// countsTravel is how old the counts of a digest may be on arrival.
	countsTravel = 1500 * time.Millisecond
	// inheritTimeout bounds the call for the counts that a peer knows.
	inheritTimeout = time.Second
	// inheritPause is the time between two tries to reach a peer for them.
	inheritPause = 200 * time.Millisecond
	// inheritFrom is how many peers are asked: one may have started a moment
	// ago.
	inheritFrom = 2
	// inheritTries bounds the calls.
	inheritTries = 10
)

// inheritedCounts are those of one incarnation as a peer told them.
type inheritedCounts struct {
	started map[int64]map[string]int
	at      time.Time
}

// usage is a usage.Source.
func (p *peerView) usage(window int64, end time.Time) (usage.Counts, bool) {
	sum := make(usage.Counts)
	add := func(counts map[string]int) {
		for customer, n := range counts {
			sum[customer] += n
		}
	}
	add(p.meter.Recent(countsHorizon)[window])
	missing := make(map[string]bool)
	for _, id := range p.registry.Live() {
		missing[id] = id != p.self
	}
	// Digests that arrived well after the end of the window have all of it.
	since := time.Since(end) - countsTravel
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, state := range p.heard {
		add(larger(state.digest.Started[window], p.inherited[key].started[window]))
		if time.Since(state.at) < since {
			missing[key.id] = false
		}
	}
	for key, counts := range p.inherited {
		if _, heard := p.heard[key]; !heard {
			add(counts.started[window])
		}
	}
	for _, m := range missing {
		if m {
			return sum, false
		}
	}
	return sum, p.asked
}

// larger returns the larger count of each customer: counts of one incarnation
// only grow.
func larger(x, y map[string]int) map[string]int {
	if len(y) == 0 {
		return x
	}
	out := maps.Clone(y)
	for customer, n := range x {
		out[customer] = max(out[customer], n)
	}
	return out
}

// counts returns what is known of each incarnation but for this one, which
// tells its own in its digests.
func (p *peerView) counts() []peer.IncarnationCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]peer.IncarnationCounts, 0, len(p.heard)+len(p.inherited))
	for key, state := range p.heard {
		out = append(out, peer.IncarnationCounts{Member: key.id, Incarnation: key.incarnation, Started: state.digest.Started})
	}
	for key, counts := range p.inherited {
		if _, heard := p.heard[key]; !heard {
			out = append(out, peer.IncarnationCounts{Member: key.id, Incarnation: key.incarnation, Started: counts.started})
		}
	}
	return out
}

// takeInherited takes in the counts that a peer knows.
func (p *peerView) takeInherited(told []peer.IncarnationCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, counts := range p.inherited {
		if now.Sub(counts.at) > countsHorizon {
			delete(p.inherited, key)
		}
	}
	for _, c := range told {
		key := heardKey{c.Member, c.Incarnation}
		if key == (heardKey{p.self, p.incarnation}) {
			continue
		}
		started := maps.Clone(c.Started)
		for window, counts := range p.inherited[key].started {
			if started == nil {
				started = make(map[int64]map[string]int)
			}
			started[window] = larger(counts, started[window])
		}
		p.inherited[key] = inheritedCounts{started: started, at: now}
	}
}

// inherit asks peers for the counts of incarnations that ended before this
// process started: it may be the one that reports them.
func (p *peerView) inherit(ctx context.Context, ask func(ctx context.Context, peer string) ([]peer.IncarnationCounts, error), log *logrus.Entry) {
	select {
	case <-p.registry.Scanned():
	case <-ctx.Done():
		return
	}
	defer p.setAsked()
	answered := make(map[string]bool)
	for range inheritTries {
		id, found := p.notYetAsked(answered)
		if !found {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, inheritTimeout)
		told, err := ask(callCtx, id)
		cancel()
		if err == nil {
			p.takeInherited(told)
			log.WithFields(logrus.Fields{"member": id, "incarnations": len(told)}).Info("app: counts had from a peer.")
			if answered[id] = true; len(answered) == inheritFrom {
				return
			}
			continue
		}
		log.WithError(err).WithField("member", id).Debug("app: counts not had from a peer.")
		if !ctxtime.Sleep(ctx, inheritPause) {
			return
		}
	}
}

// notYetAsked returns a live peer that hasn't answered, at random.
func (p *peerView) notYetAsked(answered map[string]bool) (string, bool) {
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

func (p *peerView) setAsked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = true
}
