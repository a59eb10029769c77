package admission

const (
	// retryRatio is the number of retries earned by each new request, so that
	// retries add at most a tenth to the load when everything fails.
	retryRatio = 0.1
	// retryBurst bounds the retries saved up.
	retryBurst = 10.0
)

// retryBudget bounds the retries of one customer by its new requests.
type retryBudget struct {
	saved float64
}

func newRetryBudget() retryBudget { return retryBudget{saved: retryBurst} }

func (b *retryBudget) earn() { b.saved = min(b.saved+retryRatio, retryBurst) }

func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
