package quota

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// openFill is the fill level from which on all requests are served, so that the
	// limit is used when the more urgent ones don't ask.
	openFill = 0.8
	// maxUrgency caps urgencies, which bounds the number of ranks. Routes use 0 to 2.
	maxUrgency = 7
	// headroom is the time for which the units asked for by more urgent requests are
	// left to them, and maxHeadroom the largest fraction of the burst that is. Urgent
	// requests come in clumps of up to about ten.
	headroom, maxHeadroom = 400 * time.Millisecond, 0.6
	// headroomPeriod is the time constant of the units that an urgency asks for.
	headroomPeriod = time.Second
	// debtPart is the part of the time that more urgent requests may wait for which the
	// units of a limit may be used up in advance by a less urgent one. With all of it,
	// the next urgent one would be refused.
	debtPart = 0.5
	// placesPart is the part of the units that an urgency can get which is set aside
	// for requests that return after a refusal. The rest is for new requests, whose
	// answers are earlier.
	placesPart = 0.15
	// minFree is the least part of the limit that is assumed to be left by more urgent
	// requests when Retry-After is derived.
	minFree = 0.05
	// maxPlaces bounds the requests for which units are set aside.
	maxPlaces = 64
	// placeWait is the longest wait for a place, as a multiple of the time that a request
	// may wait at once, which is an eighth of its objective. After twice that time its
	// answer would be late.
	placeWait = 4
	// placeSpread is the part of a wait by which Retry-After is spread, and placeGrace
	// the time for which a place is kept after that for the way to the client and back.
	placeSpread, placeGrace = 0.1, 60 * time.Millisecond
	// spreadStep distributes successive values evenly over [0, 1): the golden ratio.
	spreadStep = 0.618
)

// order decides in which order the requests of a customer that asks for more than its
// limit get units: by urgency, then those that return after a refusal, then by size.
// Requests that are much smaller than the mean of all are not held back. It
// only ever holds back a request for more urgent ones, for those of its own urgency, or
// for units that are reserved for a refused one of these. It uses no clock.
type order struct {
	// ranks holds the urgencies that asked for units, the most urgent first.
	ranks []*orderRank
	// places are the reservations of refused requests.
	places []place
	// refused counts refusals, to spread Retry-After.
	refused int
	// all holds the sizes of the requests of all urgencies.
	all sizes
}

// orderRank is the demand of one urgency.
type orderRank struct {
	urgency int
	// units is the number of units asked for per second.
	units rate.EWMA
	// within is the time that its last request might wait.
	within time.Duration
	sizes  sizes
	// placedUntil is the time at which the units of the last place are complete.
	placedUntil time.Time
}

// place is a reservation of units for a refused request, valid for a retry after its
// Retry-After.
type place struct {
	urgency int
	units   float64
	// The units fill up from since to at, and are given up at until.
	since, at, until time.Time
}

// held returns the units that are set aside at a time.
func (p place) held(now time.Time) float64 {
	return p.units * min(1, max(0, now.Sub(p.since).Seconds()/p.at.Sub(p.since).Seconds()))
}

// bucketState is the state of a limit.
type bucketState struct {
	level, perSecond, burst float64
	// exceeded is set while the customer asks for more than its limit.
	exceeded bool
}

// waitFor returns the time until units are available.
func (b bucketState) waitFor(units float64) time.Duration {
	if units <= b.level {
		return 0
	}
	return max(time.Millisecond, rate.Seconds((units-b.level)/b.perSecond))
}

// orderDecision is the result of order.decide.
type orderDecision struct {
	ok bool
	// wait is the time until the request may run or, if it is refused, until units will
	// be there for it.
	wait time.Duration
}

// decide decides on a request. The caller charges the units if the request is granted.
func (o *order) decide(now time.Time, b bucketState, r peer.LimitRequest) orderDecision {
	rank := o.rankOf(r.Urgency)
	rank.units.Add(now, r.Units)
	rank.within = r.Within
	class := rank.sizes.ask(now, r.Units)
	o.all.ask(now, r.Units)
	o.dropPlaces(now)
	need, taken := min(r.Units, b.burst), -1
	// held is set for requests that leave the units to larger ones.
	held := false
	if b.exceeded && b.level < openFill*b.burst {
		if r.Returning {
			taken = o.findPlace(rank.urgency, r.Units)
		}
		keep := o.reserved(now, rank.urgency, taken)
		if taken < 0 {
			keep += min(maxHeadroom*b.burst, headroom.Seconds()*o.moreUrgentUnits(now, rank.urgency))
			held = !rank.sizes.isSmall(r.Units) && !rank.sizes.mayTake(now, class)
		}
		need = min(need+keep, b.burst)
	}
	if o.all.isSmall(r.Units) && b.waitFor(r.Units) <= o.longestWait() {
		// Holding back requests that are much smaller than others leaves next to nothing
		// to the more urgent ones, and they can't wait for what these use up in advance.
		rank.sizes.grant(now, class)
		return orderDecision{ok: true, wait: min(b.waitFor(r.Units), r.Within)}
	}
	wait := b.waitFor(need)
	if wait <= r.Within && b.waitFor(min(r.Units, b.burst)) <= o.longestDebt(rank) && !held {
		if taken >= 0 {
			o.places = slices.Delete(o.places, taken, taken+1)
		}
		rank.sizes.grant(now, class)
		return orderDecision{ok: true, wait: wait}
	}
	if b.exceeded {
		wait = o.reserve(now, b, rank, r, need)
	}
	return orderDecision{wait: min(max(wait, r.Within+time.Millisecond), maxRetryAfter)}
}

// rankOf returns the rank of an urgency. Requests of unknown urgency count as the most
// urgent ones, so that none of them is held back by mistake.
func (o *order) rankOf(urgency int) *orderRank {
	urgency = min(max(0, urgency), maxUrgency)
	i, found := slices.BinarySearchFunc(o.ranks, urgency, func(r *orderRank, u int) int { return r.urgency - u })
	if !found {
		o.ranks = slices.Insert(o.ranks, i, &orderRank{urgency: urgency, units: rate.EWMA{TimeConstant: headroomPeriod}})
	}
	return o.ranks[i]
}

// moreUrgentUnits returns the units per second that more urgent requests ask for.
func (o *order) moreUrgentUnits(now time.Time, urgency int) float64 {
	sum := 0.0
	for _, r := range o.ranks {
		if r.urgency < urgency {
			sum += r.units.Rate(now)
		}
	}
	return sum
}

// longestWait returns the longest time that requests of any urgency may wait, which
// bounds the units that are used up in advance.
func (o *order) longestWait() time.Duration {
	longest := time.Duration(0)
	for _, r := range o.ranks {
		longest = max(longest, r.within)
	}
	return longest
}

// longestDebt returns the time for which a request may use up the units of a limit in
// advance: what more urgent ones can wait for.
func (o *order) longestDebt(rank *orderRank) time.Duration {
	longest := time.Duration(math.MaxInt64)
	for _, r := range o.ranks {
		if r.urgency < rank.urgency {
			longest = min(longest, time.Duration(debtPart*float64(r.within)))
		}
	}
	return longest
}

// reserved returns the units that are reserved for refused requests of this or a higher
// urgency. If the request has a reservation itself, it leaves out that one and later ones.
func (o *order) reserved(now time.Time, urgency, own int) float64 {
	sum := 0.0
	for i, p := range o.places {
		if p.urgency <= urgency && i != own && (own < 0 || p.at.Before(o.places[own].at)) {
			sum += p.held(now)
		}
	}
	return sum
}

// findPlace returns the index of the earliest place of a request, or -1.
func (o *order) findPlace(urgency int, units float64) int {
	return slices.IndexFunc(o.places, func(p place) bool { return p.urgency == urgency && p.units == units })
}

func (o *order) dropPlaces(now time.Time) {
	o.places = slices.DeleteFunc(o.places, func(p place) bool { return !now.Before(p.until) })
}

// reserve returns the Retry-After of a refused request. It reserves the units for the
// retry if they become available soon enough.
func (o *order) reserve(now time.Time, b bucketState, rank *orderRank, r peer.LimitRequest, need float64) time.Duration {
	free := max(minFree*b.perSecond, b.perSecond-o.moreUrgentUnits(now, rank.urgency))
	if !r.Returning && len(o.places) < maxPlaces {
		since := now
		if rank.placedUntil.After(now) {
			since = rank.placedUntil
		}
		at := since.Add(max(time.Millisecond, rate.Seconds(min(r.Units, b.burst)/(placesPart*free))))
		if wait := at.Sub(now); wait <= placeWait*r.Within {
			retryAfter := o.spread(wait)
			rank.placedUntil = at
			o.places = append(o.places, place{urgency: rank.urgency, units: r.Units, since: since, at: at, until: now.Add(retryAfter + placeGrace)})
			return retryAfter
		}
	}
	return o.spread(max(time.Millisecond, rate.Seconds((need-b.level)/free)))
}

// spread spreads the times at which refused requests return.
func (o *order) spread(wait time.Duration) time.Duration {
	o.refused++
	_, part := math.Modf(spreadStep * float64(o.refused))
	return wait + time.Duration(placeSpread*part*float64(wait))
}
