package quota

import (
	"sync"
	"time"
)

// RetryOptions bound the retries of a service over all entries.
type RetryOptions struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Extra is the number of additional retries that are allowed per Window.
	Extra  float64
	Window time.Duration
}

const (
	// usedRatioFraction is the fraction of Ratio that is used. Requests are
	// counted at the entry that clients send them to, and a few of them are
	// lost.
	usedRatioFraction = 0.7
	// usedExtraFraction is the fraction of Extra that is used.
	usedExtraFraction = 0.7
)

// RetryBudget is the retry budget of one entry, by service: each request
// deposits into it and each retry withdraws from it. It is safe for concurrent
// use.
type RetryBudget struct {
	opt RetryOptions
	now func() time.Time

	mu       sync.Mutex
	members  int
	services map[string]*window
}

// window counts requests and retries of one service over the last
// RetryOptions.Window, in slices.
type window struct {
	slices [budgetSlices]slice
}

// slice counts the requests and retries of one slice of a window.
type slice struct {
	// number is the time of the slice divided by the length of a slice.
	number            int64
	requests, retries float64
}

// budgetSlices is the number of slices of a window.
const budgetSlices = 20

// NewRetryBudget returns an empty budget for one entry.
func NewRetryBudget(o RetryOptions) *RetryBudget {
	return &RetryBudget{opt: o, now: time.Now, members: 1, services: make(map[string]*window)}
}

// SetMemberCount sets the number of entries that RetryOptions.Extra is divided
// among.
func (r *RetryBudget) SetMemberCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = max(1, n)
}

// Deposit counts a request to a service.
func (r *RetryBudget) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sliceLocked(service).requests++
}

// TryWithdraw counts a retry and returns true, or returns false if the budget
// is exhausted.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.sliceLocked(service)
	requests, retries := 0.0, 0.0
	for _, s := range r.services[service].slices {
		if current.number-s.number < budgetSlices {
			requests += s.requests
			retries += s.retries
		}
	}
	allowed := usedRatioFraction*r.opt.Ratio*requests + usedExtraFraction*r.opt.Extra/float64(r.members)
	if retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}

// sliceLocked returns the current slice of a service, emptied if it is new.
func (r *RetryBudget) sliceLocked(service string) *slice {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	number := r.now().UnixNano() / int64(r.opt.Window/budgetSlices)
	s := &w.slices[number%budgetSlices]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}
