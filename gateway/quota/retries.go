package quota

import (
	"sync"
	"time"
)

// RetryOptions bound the retries of a service over all entries.
type RetryOptions struct {
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// Extra retries are allowed in each Window in addition.
	Extra  float64
	Window time.Duration
}

const (
	// ratioMargin is the fraction of Ratio that is used. The requests of a
	// window are counted where clients send them, and a few of them are lost.
	ratioMargin = 0.7
	// extraMargin is the fraction of Extra that is used.
	extraMargin = 0.7
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

type slice struct {
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
	allowed := ratioMargin*r.opt.Ratio*requests + extraMargin*r.opt.Extra/float64(r.members)
	if retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}

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
