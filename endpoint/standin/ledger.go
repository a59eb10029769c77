package standin

import (
	"maps"
	"sync"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// ServiceCounts counts the calls that a service executed. Tests and checkers
// use it to find calls that ran more than once.
type ServiceCounts struct {
	// Executions counts by idempotency key, Attempts by attempt ID.
	Executions map[string]int `json:"executions"`
	Attempts   map[string]int `json:"attempts"`
	// Calls counts all executed calls.
	Calls int `json:"calls"`
}

// Ledger is the state that all replicas of a service share: the calls that they
// executed, and the highest fencing token received. It is safe for concurrent
// use.
type Ledger struct {
	mu      sync.Mutex
	fence   uint64
	counts  ServiceCounts
	replies map[string]endpoint.Reply
	last    endpoint.Call
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		counts:  ServiceCounts{Executions: make(map[string]int), Attempts: make(map[string]int)},
		replies: make(map[string]endpoint.Reply),
	}
}

// Executions returns the number of times that a key was executed.
func (l *Ledger) Executions(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts.Executions[key]
}

// Counts returns a copy of all counts.
func (l *Ledger) Counts() ServiceCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Executions = maps.Clone(c.Executions)
	c.Attempts = maps.Clone(c.Attempts)
	return c
}

// Last returns the call that was executed last.
func (l *Ledger) Last() endpoint.Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// acceptFence records a fencing token. If a higher one was received before, it
// returns the highest one and false.
func (l *Ledger) acceptFence(fence uint64) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence < l.fence {
		return l.fence, false
	}
	l.fence = fence
	return fence, true
}

func (l *Ledger) record(c endpoint.Call, reply endpoint.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Calls++
	l.last = c
	if c.AttemptID != "" {
		l.counts.Attempts[c.AttemptID]++
	}
	if c.Key != "" {
		l.counts.Executions[c.Key]++
		l.replies[c.Key] = reply
	}
}

func (l *Ledger) reply(key string) (endpoint.Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply, ok := l.replies[key]
	return reply, ok
}
