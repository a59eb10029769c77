package throttle

import (
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// handoverPeriod is how long a new owner of a limit grants reducedPart of it
	// only. It is longer than entries with different views of the members ask
	// different owners.
	handoverPeriod = 4 * time.Second
	// unaskedPermits is the number of permits in whose time an owner of a low
	// limit may not be asked although no other owner is.
	unaskedPermits = 5
	// reducedPart is the part of a limit that a new owner and the second member
	// by hash grant.
	reducedPart = 0.45
	// minBurst, and burstTime of the limit more, are the permits that can be
	// saved up.
	minBurst  = 2
	burstTime = 100 * time.Millisecond
	// asksPerPermit is the number of calls for each permit if more are asked for
	// than there are. Requests with alternatives are fewer, and lose nothing by a
	// denial.
	asksPerPermit, asksWithAlternatives = 2, 4
	// sparePermits is the number of saved permits from which on one is granted
	// whatever the part that a customer got.
	sparePermits = 1.5
	// shareDenialPermits is the time for which a request is denied whose class or
	// customer got more than its part, in permits of the limit.
	shareDenialPermits = 2
	// deniedMemory is how long a member that was denied counts as one that asks.
	deniedMemory = 10 * time.Second
)

// grants are the permits that this entry grants as an owner of a limit.
type grants struct {
	bucket rate.Bucket
	shares shares
	// burst is the number of permits that can be saved up.
	burst float64
	// ownedSince is when this entry began to be asked as the first owner without
	// a long break. askedAt is when it was last asked.
	ownedSince, askedAt time.Time
	// deniedTo holds when each member was last denied.
	deniedTo map[string]time.Time
}

// Grant decides on the call of a peer for a permit.
func (t *Throttle) Grant(from string, q peer.PermitRequest) peer.PermitResult {
	t.mu.Lock()
	changed := t.mergeLocked(q.Limit, from)
	k := incarnation{q.Limit.Endpoint, q.Limit.Incarnation}
	result := t.grantLocked(from, k, requestOf(q), time.Now())
	if l := t.limits.byIncarnation[k]; l != nil && l.version > q.Limit.Version {
		newer := l.statement()
		result.Newer = &newer
	}
	notify := t.onBroadcast
	t.mu.Unlock()
	if changed {
		for _, f := range notify {
			f()
		}
	}
	return result
}

func requestOf(q peer.PermitRequest) Request {
	return Request{
		Class: min(max(Class(q.Class), Urgent), Repeat), Customer: q.Customer, Alternatives: q.Alternatives,
		Within: milliseconds(max(0, q.WithinMS)),
	}
}

// grantLocked decides on a permit as an owner.
func (t *Throttle) grantLocked(from string, k incarnation, q Request, now time.Time) peer.PermitResult {
	l := t.limits.byIncarnation[k]
	if l == nil {
		return peer.PermitResult{NotOwner: true}
	}
	if l.perSecond == 0 {
		return peer.PermitResult{Granted: true}
	}
	rank := slices.Index(t.owners.Ranked(ownerKey(l.id), ownerRanks), t.opt.ID)
	if rank < 0 || !t.reachesMost() {
		return peer.PermitResult{NotOwner: true}
	}
	perSecond := l.resizeOwned(t.ownerPart(l.rate())*l.rate(), rank > 0, now)
	g := &l.owner
	var wait time.Duration
	if g.mayTake(q, now, perSecond) {
		r := g.bucket.ReserveWithin(now, 1, q.Within)
		if r.OK {
			g.shares.grant(q, now, perSecond)
			return peer.PermitResult{Granted: true, DelayMS: r.Delay.Milliseconds()}
		}
		wait = r.Delay
	} else {
		wait = rate.Seconds(shareDenialPermits / perSecond)
	}
	asks := float64(asksWithAlternatives)
	if !q.Alternatives {
		asks = asksPerPermit
		g.shares.deny(q, now)
	}
	askIn := wait + time.Duration(t.opt.Random()*float64(g.askSpread(from, asks*perSecond, now)))
	return peer.PermitResult{WaitMS: wait.Milliseconds() + 1, AskInMS: askIn.Milliseconds() + 1}
}

// mayTake reports whether a request may get the next permit. Permits that are
// saved up because those whose part they would be don't ask go to others.
func (g *grants) mayTake(q Request, now time.Time, perSecond float64) bool {
	g.bucket.AddTokens(now, 0)
	saved := g.bucket.Tokens()
	if q.Alternatives || saved >= g.burst {
		return true
	}
	return g.shares.classMayTake(q.Class, now, perSecond) &&
		(saved >= sparePermits || g.shares.customerMayTake(q.Customer, now, perSecond))
}

// resizeOwned applies the rate at which this entry grants permits as an owner,
// and returns it.
func (l *limit) resizeOwned(perSecond float64, second bool, now time.Time) float64 {
	g := &l.owner
	switch {
	case second:
		g.ownedSince = time.Time{}
	case g.ownedSince.IsZero() || now.Sub(g.askedAt) > max(handoverPeriod, rate.Seconds(unaskedPermits/perSecond)):
		g.ownedSince = now
		if now.Sub(l.since) < handoverPeriod {
			// Nobody else can have granted permits of such a young limit.
			g.ownedSince = l.since.Add(-handoverPeriod)
		}
	}
	g.askedAt = now
	if g.bucket.At.IsZero() {
		g.bucket = rate.PartlyFilled(now, 0)
	}
	g.burst = minBurst + burstTime.Seconds()*perSecond
	if second || now.Sub(g.ownedSince) < handoverPeriod {
		perSecond, g.burst = reducedPart*perSecond, reducedPart*g.burst
	}
	g.burst = max(1, g.burst)
	g.bucket.Resize(now, perSecond, g.burst)
	return perSecond
}

// askSpread returns the most that a member which was denied waits longer. If all
// such members wait a random part of it, they make the given number of calls per
// second together.
func (g *grants) askSpread(member string, perSecond float64, now time.Time) time.Duration {
	if g.deniedTo == nil {
		g.deniedTo = make(map[string]time.Time)
	}
	g.deniedTo[member] = now
	for id, at := range g.deniedTo {
		if now.Sub(at) > deniedMemory {
			delete(g.deniedTo, id)
		}
	}
	return rate.Seconds(2 * float64(len(g.deniedTo)) / perSecond)
}
