package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// customer is the state of one customer. It is guarded by the Controller.
type customer struct {
	params template.Customer
	bucket rate.Bucket
	demand rate.EWMA
	// told is the demand in the last digest. Parts of limits are computed
	// from it and not from the demand of now: the others compute theirs from
	// the same figure, so that the parts add up to one also while the demand
	// grows.
	told    float64
	spend   spendWindow
	retries retryBudget
}

func newCustomer(now time.Time) *customer {
	cu := &customer{retries: newRetryBudget()}
	cu.demand.At = now
	cu.bucket.At = now
	return cu
}

// setPart gives the customer's bucket this entry's part of the limit.
func (cu *customer) setPart(now time.Time, part float64) {
	cu.bucket.Resize(now, cu.params.TokensPerSecond*part, cu.params.BurstTokens*part)
}

// overCeiling returns how long new work must wait for the cost ceiling, given
// what the other entries spent; 0 means not at all. A ceiling of 0 is none.
func (cu *customer) overCeiling(now time.Time, peers float64) time.Duration {
	ceiling := cu.params.CostPerHour
	if ceiling <= 0 {
		return 0
	}
	left := ceiling - peers
	if cu.spend.total(now) < left {
		return 0
	}
	return max(cu.spend.wait(now, left), spendSlot)
}
