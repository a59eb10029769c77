package admission

const (
	// retryRatio is the number of retries that each new request deposits,
	// so that retries add at most a tenth to the load when everything
	// fails.
	retryRatio = 0.1
	// retryBurst is the maximum balance of a retry budget.
	retryBurst = 10.0
)

// retryBudget bounds the retries of one customer in proportion to its new
// requests.
type retryBudget struct {
	balance float64
}

func newRetryBudget() retryBudget { return retryBudget{balance: retryBurst} }

// deposit credits the budget for one new request.
func (b *retryBudget) deposit() { b.balance = min(b.balance+retryRatio, retryBurst) }

// withdraw takes one retry from the budget. It returns false if the balance is
// too low.
func (b *retryBudget) withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
