package quota

import (
	"sync"
	"time"
)

const (
	// waitDivisor is the part of its objective that a request may wait for decisions.
	waitDivisor = 8
	// timeoutWindow is the time for which the longest time of clients is remembered.
	// Clients rarely change their timeouts.
	timeoutWindow = 10 * time.Second
	// returnedFraction is the part of the time that clients give a request which a
	// returning one has used up at least. Clients and networks vary by less.
	returnedFraction = 0.02
)

// timeouts recognizes retries of refused requests by their remaining time, which is less
// than that of new requests of the same customer and kind. It is safe for concurrent use.
type timeouts struct {
	mu     sync.Mutex
	byKind map[timeoutKind]timeout
}

type timeoutKind struct {
	customer  string
	urgency   int
	objective time.Duration
}

// timeout is the longest time that clients had.
type timeout struct {
	// longest is that of the current and the last window, latest that of the current
	// window, which began at since.
	longest, latest time.Duration
	since           time.Time
}

func (t *timeouts) isReturning(now time.Time, customer string, r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKind == nil {
		t.byKind = make(map[timeoutKind]timeout)
	}
	key := timeoutKind{customer, r.Urgency, r.Objective}
	w := t.byKind[key]
	if now.Sub(w.since) > timeoutWindow {
		w = timeout{longest: w.latest, since: now}
	}
	w.longest, w.latest = max(w.longest, r.Remaining), max(w.latest, r.Remaining)
	t.byKind[key] = w
	return float64(w.longest-r.Remaining) > returnedFraction*float64(w.longest)
}
