package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// exchangeTick is the time between two looks for exchanges that are due.
	exchangeTick = 50 * time.Millisecond
	// exchangeTimeout bounds a call to the other owner of limits.
	exchangeTimeout = 150 * time.Millisecond
)

// ReplicaPeers connects the owners of replicated limits.
type ReplicaPeers interface {
	// ReserveReplica is Peers.Reserve at either owner of a limit.
	ReserveReplica(ctx context.Context, peer, customer string, r peer.LimitRequest) (rate.Reservation, error)
	// ExchangeLevels calls MergeLevels at a peer.
	ExchangeLevels(ctx context.Context, peer string, levels []peer.LimitLevel) ([]peer.LimitLevel, error)
}

// Replication configures the replication of limits.
type Replication struct {
	// Process identifies a process among those that an entry has run.
	Process uint64
	// Active reports whether limits are replicated.
	Active func() bool
	// Ordered makes owners decide in which order the requests of a customer that exceeds
	// its limit are served, once Settled. Otherwise they are served as they come.
	Ordered bool
	// Settled reports whether the members are known that started together with this
	// entry.
	Settled func() bool
	// Sleep waits and reports whether it waited in full. If it is nil, owners are asked
	// once.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Count counts a decision by the first or the second owner or by the own part of
	// this entry. It may be nil.
	Count func(by string, granted bool)
}

// Values of the parameter by of Replication.Count.
const (
	byFirst, bySecond, byOwnPart, byDenial = "first owner", "second owner", "own part", "last refusal"
)

// ReplicateWith makes limits replicated. It must be called before any other method.
// RunExchanges must run.
func (g *GlobalLimiter) ReplicateWith(p ReplicaPeers, r Replication) {
	g.replicas, g.sleep = p, r.Sleep
	if g.count = r.Count; g.count == nil {
		g.count = func(string, bool) {}
	}
	g.Replicate(r, func(customer string) (int, string) {
		ranked := g.owners.Ranked(customer, ownerRanks)
		i := slices.Index(ranked, g.self)
		if i < 0 {
			return 0, ""
		}
		partner := ""
		if len(ranked) > 1 {
			partner = ranked[1-i]
		}
		return i + 1, partner
	})
}

// RunExchanges exchanges the levels of limits with their other owners until ctx ends.
func (g *GlobalLimiter) RunExchanges(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(exchangeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for partner, levels := range g.dueLevels() {
			if g.beginExchange(partner) {
				running.Go(func() {
					defer g.endExchange(partner)
					g.exchange(ctx, partner, levels)
				})
			}
		}
	}
}

func (g *GlobalLimiter) beginExchange(partner string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchanging[partner] {
		return false
	}
	g.exchanging[partner] = true
	return true
}

func (g *GlobalLimiter) endExchange(partner string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanging, partner)
}

func (g *GlobalLimiter) exchange(ctx context.Context, partner string, levels []peer.LimitLevel) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.replicas.ExchangeLevels(ctx, partner, levels)
	lost, regained := g.exchanged(partner, levels, answer, err)
	log := g.log.WithField("member", partner)
	if len(lost) > 0 {
		log.WithError(err).WithField("customers", lost).Warn("quota: other owner of limits is unreachable, this entry goes on alone.")
	}
	if len(regained) > 0 {
		log.WithField("customers", regained).Info("quota: other owner of limits is reachable again.")
	}
}

// dueLevels returns the levels that are due to be exchanged, by partner.
func (l *Limiter) dueLevels() map[string][]peer.LimitLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isReplicatedLocked() {
		return nil
	}
	now := l.now()
	out := make(map[string][]peer.LimitLevel)
	for _, cu := range l.customers {
		rp := &cu.replica
		if cu.limit.PerSecond <= 0 || rp.rank == 0 {
			continue
		}
		if rp.partner == "" {
			if rp.quality == 0 {
				l.assumeLocked(cu, now)
			}
			continue
		}
		if rp.isDue(now) {
			rp.triedAt, rp.unsent = now, 0
			out[rp.partner] = append(out[rp.partner], l.levelLocked(cu, rp.partnerProcess, now))
		}
	}
	return out
}

func (rp *replica) isDue(now time.Time) bool {
	since := now.Sub(rp.triedAt)
	if rp.lost {
		return since >= lostExchangePeriod
	}
	urgent := rp.quality == 0 || rp.rank > 1 && rp.unsent > 0
	return urgent && since >= urgentExchangePeriod ||
		since >= exchangePeriod && rp.unsent > 0 || since >= idleExchangePeriod && rp.rank == 1
}

// exchanged applies the result of an exchange. It returns the customers for whose
// limits contact was lost and regained.
func (l *Limiter) exchanged(partner string, sent, answer []peer.LimitLevel, err error) (lost, regained []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, v := range sent {
		cu := l.customers[v.Customer]
		if cu == nil || cu.replica.rank == 0 || cu.replica.partner != partner {
			continue
		}
		before := cu.replica.lost
		if err != nil {
			if !before {
				cu.loseContact(now)
				lost = append(lost, v.Customer)
			}
		} else {
			if before {
				regained = append(regained, v.Customer)
			}
			l.answeredLocked(cu, partner, answer, now)
		}
		if rp := &cu.replica; rp.quality == 0 && (err == nil && rp.rank == 1 || now.Sub(rp.rankedAt) > assumeAfter) {
			l.assumeLocked(cu, now)
		}
	}
	return lost, regained
}
