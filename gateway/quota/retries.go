package quota

import (
	"sync"
	"time"
)

// RetryOptions bound the second tries of a service over all entries.
type RetryOptions struct {
	// Ratio is how many second tries each request earns.
	Ratio float64
	// Extra second tries are allowed in each Window besides.
	Extra  float64
	Window time.Duration
}

const (
	// ratioMargin is the part of the ratio that is used. Requests of a window
	// are counted where clients sent them, a little of which is lost.
	ratioMargin = 0.7
	// extraMargin is the part of the extra tries that is used.
	extraMargin = 0.7
)

// RetryBudget is the retry budget of one entry. It is safe for concurrent use.
type RetryBudget struct {
	opt RetryOptions
	now func() time.Time

	mu       sync.Mutex
	members  int
	services map[string]*window
}

// window counts the last Window of one service in slices.
type window struct {
	slices [budgetSlices]slice
}

type slice struct {
	number         int64
	requests, used float64
}

// budgetSlices is how many parts a window is counted in.
const budgetSlices = 20

// NewRetryBudget returns a budget.
func NewRetryBudget(o RetryOptions) *RetryBudget {
	return &RetryBudget{opt: o, now: time.Now, members: 1, services: make(map[string]*window)}
}

// SetMembers sets over how many entries the extra tries are divided.
func (r *RetryBudget) SetMembers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = max(1, n)
}

// Deposit counts a request for a service.
func (r *RetryBudget) Deposit(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sliceLocked(service).requests++
}

// TryWithdraw counts a second try, or says that the budget has none left.
func (r *RetryBudget) TryWithdraw(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.sliceLocked(service)
	requests, used := 0.0, 0.0
	for _, s := range r.services[service].slices {
		if current.number-s.number < budgetSlices {
			requests += s.requests
			used += s.used
		}
	}
	allowed := ratioMargin*r.opt.Ratio*requests + extraMargin*r.opt.Extra/float64(r.members)
	if used+1 > allowed {
		return false
	}
	current.used++
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
