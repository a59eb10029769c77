package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// customer is the state of one customer. It is guarded by the Controller.
type customer struct {
	params  template.Customer
	bucket  bucket
	demand  meter
	spend   spendWindow
	retries retryBudget
}

func newCustomer(now time.Time) *customer {
	cu := &customer{retries: newRetryBudget()}
	cu.demand.at = now
	cu.bucket.at = now
	return cu
}

func (cu *customer) setParams(p template.Customer) {
	cu.params = p
}

// setPart gives the customer's bucket this entry's part of the limit.
func (cu *customer) setPart(now time.Time, part float64) {
	cu.bucket.resize(now, cu.params.TokensPerSecond*part, cu.params.BurstTokens*part)
}

// overCeiling returns how long new work must wait for the cost ceiling; 0
// means not at all. A ceiling of 0 is none.
func (cu *customer) overCeiling(now time.Time) time.Duration {
	ceiling := cu.params.CostPerHour
	if ceiling <= 0 || cu.spend.total(now) < ceiling {
		return 0
	}
	return cu.spend.wait(now, ceiling)
}
