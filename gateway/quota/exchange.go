package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// exchangeTick is the time between two looks for exchanges that are due.
	exchangeTick = 50 * time.Millisecond
	// askAgainPeriod is the time after which the owners of a limit are asked again
	// while they have just started and don't know its level.
	askAgainPeriod = 10 * time.Millisecond
	// exchangeTimeout bounds a call to the other owner of limits.
	exchangeTimeout = 150 * time.Millisecond
	// askTimeout bounds the call to the first owner of a limit, after which the second
	// is called. A host with a fifth of a processor may be paused for some tens of
	// milliseconds: with 60 ms, entries took busy owners for lost ones in bursts.
	askTimeout = reserveTimeout
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

// reserveReplicated reserves units at the first owner that answers. The second result
// is false if none does within maxDelay, or if the owners are unreachable.
func (g *GlobalLimiter) reserveReplicated(ctx context.Context, customer string, r Request) (Decision, bool) {
	began := g.now()
	asked := peer.LimitRequest{Units: r.Units, Within: r.MaxDelay, Urgency: peer.UnknownUrgency}
	if g.isOrdered() {
		asked.Urgency = r.Urgency
		if r.Objective > 0 {
			asked.Within = r.Objective / waitDivisor
		}
		asked.Returning = g.timeouts.isReturning(began, customer, r)
	}
	if d, denied := g.denials.find(began, customer, asked); denied {
		g.count(byDenial, false)
		return d, true
	}
	for {
		left := asked
		left.Within = max(0, asked.Within-g.now().Sub(began))
		d, ok, retry := g.askOwners(ctx, customer, left)
		if ok {
			return d, true
		}
		if !retry || g.sleep == nil || left.Within <= askAgainPeriod || !g.sleep(ctx, askAgainPeriod) {
			return Decision{}, false
		}
	}
}

// askOwners asks the owners of a limit in turn. The third result is set if an owner
// that was reached will soon know the level, or is being connected to.
func (g *GlobalLimiter) askOwners(ctx context.Context, customer string, asked peer.LimitRequest) (d Decision, ok, retry bool) {
	for i, owner := range g.owners.Ranked(customer, ownerRanks) {
		by := byFirst
		if i > 0 {
			by = bySecond
		}
		if owner == g.self {
			if r, owned := g.ReserveReplica(customer, asked); owned {
				g.count(by, r.OK)
				return Decision{Reservation: r, Owner: owner}, true, false
			}
			retry = true
			continue
		}
		if !g.owners.Available(owner) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		r, err := g.replicas.ReserveReplica(callCtx, owner, customer, asked)
		cancel()
		switch {
		case err == nil:
			g.count(by, r.OK)
			g.denials.record(g.now(), customer, owner, asked, r, g.longestDenial())
			return Decision{Reservation: r, Owner: owner}, true, false
		case ctx.Err() != nil:
			return Decision{}, false, false
		case errors.Is(err, ErrNotOwner):
			// It doesn't know the level yet, or sees other members.
			retry = true
		case i == 0 && !errors.Is(err, peer.ErrConnecting):
			g.owners.MarkUnreachable(owner, err)
		default:
			g.owners.MarkLastUnreachable(owner, err)
		}
	}
	return Decision{}, false, retry
}

func (g *GlobalLimiter) longestDenial() time.Duration {
	if g.isOrdered() {
		return maxOrderedDenial
	}
	return maxDenial
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

// MergeLevels takes into account what another owner of limits knows, and returns what
// this entry knows of the same limits.
func (l *Limiter) MergeLevels(from string, levels []peer.LimitLevel) []peer.LimitLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isReplicatedLocked() {
		return nil
	}
	now := l.now()
	var out []peer.LimitLevel
	for _, v := range levels {
		cu := l.customers[v.Customer]
		if cu == nil || cu.limit.PerSecond <= 0 || cu.replica.rank == 0 {
			continue
		}
		l.mergeLocked(cu, from, v, now)
		out = append(out, l.levelLocked(cu, v.Process, now))
	}
	return out
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

// answeredLocked applies the answer of the other owner. One that answers without the
// level of a limit grants nothing of it.
func (l *Limiter) answeredLocked(cu *customer, partner string, answer []peer.LimitLevel, now time.Time) {
	cu.replica.contactAt, cu.replica.lost = now, false
	for _, v := range answer {
		if v.Customer == cu.limit.Name {
			l.mergeLocked(cu, partner, v, now)
		}
	}
}
