package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// customer is the state of one customer. It is guarded by Controller.mu.
type customer struct {
	params template.Customer
	bucket rate.Bucket
	demand rate.EWMA
	// publishedDemand is the demand that Demand last returned for a state
	// update. Local shares of limits are computed from it and not from the
	// current demand: the peers compute their shares from the same value,
	// so that all shares add up to one even while the demand grows.
	publishedDemand float64
	spend           spendWindow
	retries         retryBudget
}

func newCustomer(now time.Time) *customer {
	cu := &customer{retries: newRetryBudget()}
	cu.demand.At = now
	cu.bucket.At = now
	return cu
}

// setLimitShare resizes the customer's bucket to this entry's local share of
// the limit.
func (cu *customer) setLimitShare(now time.Time, localShare float64) {
	cu.bucket.Resize(now, cu.params.TokensPerSecond*localShare, cu.params.BurstTokens*localShare)
}

// ceilingWait returns how long a new request must wait because of the cost
// ceiling, or 0 if it may start. peerSpend is what the customer spent through
// the other entries. A ceiling of 0 means no ceiling.
func (cu *customer) ceilingWait(now time.Time, peerSpend float64) time.Duration {
	ceiling := cu.params.CostPerHour
	if ceiling <= 0 {
		return 0
	}
	left := ceiling - peerSpend
	if cu.spend.total(now) < left {
		return 0
	}
	return max(cu.spend.wait(now, left), spendSlot)
}
