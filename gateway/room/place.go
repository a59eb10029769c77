package room

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// returnedShare is the share of the served fraction that is set aside for requests
	// that return. Without it, the returning ones would either be refused again or take
	// the place of new ones, which can still be answered in time. In the plays, 0.15 to
	// 0.5 serve equally well; more makes Retry-After exact for more requests, and
	// refuses more of them at first.
	returnedShare = 0.3
	// returnSpread is the time over which requests that are expected back are spread,
	// as a fraction of their objective: they can still be answered in time.
	returnSpread = 1.0 / 3
	// returnTolerance is how much the served fraction may have dropped since a
	// request was told to come back.
	returnTolerance = 0.05
	// minWait is the least Retry-After.
	minWait = 20 * time.Millisecond
	// minShortage and maxShortage bound the time for which a shortage whose end is not
	// known is expected to last: that of bursts.
	minShortage, maxShortage = 3 * time.Second, 5 * time.Second
	// waitSpread is the random part of a Retry-After, as a fraction.
	waitSpread = 0.1
	// placeSlot is the time after which the place of an identical request is drawn
	// anew, so that nobody is refused for longer than others.
	placeSlot = time.Second
)

// placeLocked returns the place of a request in [0, 1). It is equal for the attempts of
// one request, so that asking again at once gains nothing.
func (c *Controller) placeLocked(now time.Time, r Request, elapsed time.Duration) float64 {
	if r.Identity == nil {
		return c.random.Float64()
	}
	slot := uint64(now.Add(-elapsed).UnixNano() / int64(placeSlot))
	var b [16]byte
	for i, v := range [2]uint64{r.Identity(), slot} {
		for k := range 8 {
			b[8*i+k] = byte(v >> (8 * k))
		}
	}
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// newFraction returns the fraction of new requests that is admitted, given the
// fraction that is served.
func newFraction(fraction float64) float64 { return fraction * (1 - returnedShare) }

// returnDelay returns the delay after which a request whose place is among the served
// ones, but not among the new ones, is admitted.
func returnDelay(place, fraction float64, r Request) time.Duration {
	first := newFraction(fraction)
	part := max(0, min(1, (place-first)/(fraction-first)))
	// The time left must tell the request from a new one when it returns.
	least := minWait + time.Duration(2*returnedFraction*float64(r.Remaining))
	return least + time.Duration(part*min(returnSpread*r.Objective.Seconds(), r.Remaining.Seconds()/4)*float64(time.Second))
}

// admits reports whether a request is served.
func admits(place, fraction float64, elapsed time.Duration, r Request) bool {
	if place < newFraction(fraction) {
		return true
	}
	return elapsed > 0 && place < fraction*(1+returnTolerance) && 2*elapsed >= returnDelay(place, fraction, r)
}

// outlook is what is expected of the room of a service.
type outlook struct {
	// startsIn is the time until replicas start, and gain the factor by which room
	// grows then; 0 if none are expected.
	startsIn time.Duration
	gain     float64
	// short is how long room has been short, and drain how long the excess of waiting
	// work takes.
	short, drain time.Duration
}

// expectedIn returns the time until there is room for a refused request.
func expectedIn(place, fraction float64, elapsed time.Duration, r Request, o outlook) time.Duration {
	if place < fraction && elapsed == 0 {
		return returnDelay(place, fraction, r)
	}
	// The end of a burst is unknown. One that has lasted for a time lasts, in the
	// median, about as long again.
	wait := max(o.drain, min(max(o.short, minShortage), maxShortage))
	if o.gain > 1 && place < fraction*o.gain {
		wait = min(wait, o.startsIn)
	}
	return max(minWait, wait)
}

// spread adds a random part to a wait, given a random number in [0, 1).
func spread(wait time.Duration, random float64) time.Duration {
	return time.Duration(math.Round(float64(max(wait, minWait)) * (1 + waitSpread*random)))
}
