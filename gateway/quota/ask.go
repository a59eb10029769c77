package quota

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// askAgainPeriod is the time after which the owners of a limit are asked again
	// while they have just started and don't know its level.
	askAgainPeriod = 10 * time.Millisecond
	// askTimeout bounds the call to the first owner of a limit, after which the second
	// is called. A host with a fifth of a processor may be paused for some tens of
	// milliseconds: with 60 ms, entries took busy owners for lost ones in bursts.
	askTimeout = reserveTimeout
)

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
