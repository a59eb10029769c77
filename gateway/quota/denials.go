package quota

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// maxDenial bounds the time in which an entry refuses a customer's requests by the
// last refusal of an owner. It is a tenth of the time in which an empty bucket fills,
// so that the entries together leave nothing of the limit unused.
const maxDenial = 100 * time.Millisecond

// maxOrderedDenial is maxDenial where limits are ordered. Retry-After is then the time
// until the units of that request are set aside, and others may be served before. With
// 100 ms, owners were asked for so little of the demand that both of them granted the whole
// limit under a partition: 6 of 400 plays exceeded it.
const maxOrderedDenial = 20 * time.Millisecond

// denials holds the last refusals by the owners of limits. A customer at several
// times its limit would otherwise send its owner thousands of calls a second, which
// a host with a fifth of a processor doesn't answer in time, neither for this
// customer nor for the others. It is safe for concurrent use.
type denials struct {
	mu         sync.Mutex
	byCustomer map[string]denial
}

type denial struct {
	owner string
	// units is the size of the refused request. Smaller ones may still be served, as may
	// more urgent ones and those that return, if the refused one did not.
	units     float64
	urgency   int
	returning bool
	// until is the time until which requests are refused, and availableAt the time
	// at which the owner expected the units.
	until, availableAt time.Time
}

// covers reports whether what refused one request applies to another one.
func (d denial) covers(r peer.LimitRequest) bool {
	return r.Units >= d.units && r.Urgency >= d.urgency && (d.returning || !r.Returning)
}

// record records the refusal of a request that could wait for maxDelay.
func (d *denials) record(now time.Time, customer, owner string, asked peer.LimitRequest, r rate.Reservation, longest time.Duration) {
	wait := min(r.Delay-asked.Within, longest)
	if r.OK || wait <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byCustomer == nil {
		d.byCustomer = make(map[string]denial)
	}
	if last, found := d.byCustomer[customer]; found && now.Before(last.until) && last.covers(asked) {
		return
	}
	d.byCustomer[customer] = denial{owner: owner, units: asked.Units, urgency: asked.Urgency, returning: asked.Returning, until: now.Add(wait), availableAt: now.Add(r.Delay)}
}

// find returns the refusal that applies to a request, if there is one.
func (d *denials) find(now time.Time, customer string, asked peer.LimitRequest) (Decision, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, found := d.byCustomer[customer]
	if !found || !last.covers(asked) || !now.Before(last.until) {
		return Decision{}, false
	}
	return Decision{Reservation: rate.Reservation{Delay: last.availableAt.Sub(now)}, Owner: last.owner}, true
}
