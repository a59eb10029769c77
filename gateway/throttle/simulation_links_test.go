package throttle_test

import (
	"encoding/json"
	"time"
)

// simLink carries the limits that one entry knows to another.
type simLink struct {
	from, to  *simEntry
	position  uint64
	scheduled bool
	// skew is added to each delay, so that hardly any two links deliver at the same
	// time: the scheduler, and not the seed, orders goroutines with equal wake-up times.
	skew time.Duration
}

// maxSkew bounds the skew of a link.
const maxSkew = 500 * time.Microsecond

// link connects an entry to another one.
func (f *fleet) link(from, to *simEntry) {
	from.links = append(from.links, &simLink{from: from, to: to, skew: time.Duration(f.random.Int64N(int64(maxSkew)))})
}

// count counts the bytes of a message at its sender and its receiver.
func (f *fleet) count(message any) {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += 2 * (len(text) + envelopeBytes)
}

// wake sends what the peers of an entry don't have yet.
func (e *simEntry) wake() {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	for _, l := range e.links {
		e.f.schedule(l, oneWay)
	}
}

func (f *fleet) schedule(l *simLink, after time.Duration) {
	if !l.scheduled && !f.ended && f.throttled {
		l.scheduled = true
		time.AfterFunc(after+l.skew, l.send)
	}
}

func (l *simLink) send() {
	f := l.from.f
	f.mu.Lock()
	l.scheduled = false
	blocked := l.from.out || l.to.out || f.ended
	position, from, to := l.position, l.from.throttle, l.to.throttle
	f.mu.Unlock()
	if blocked {
		return
	}
	batch, position := from.Since(position, 256)
	f.mu.Lock()
	l.position = position
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	f.count(batch)
	for _, s := range batch {
		to.Add(l.from.id, s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule(l, linkPause)
}
