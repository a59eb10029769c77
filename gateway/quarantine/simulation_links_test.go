package quarantine

import (
	"encoding/json"
	"time"

	"golang.org/x/time/rate"
)

// simLink carries the evidence of one entry to another, as a link of package
// peer does.
type simLink struct {
	from, to  *simEntry
	position  uint64
	scheduled bool
	readyAt   time.Time
	limiter   *rate.Limiter
}

func (f *fleet) connectBoth(x, y *simEntry) {
	f.connect(x, y)
	f.connect(y, x)
}

func (f *fleet) connect(from, to *simEntry) {
	l := &simLink{from: from, to: to, limiter: rate.NewLimiter(linkEvidencePerSecond, linkEvidenceBurst)}
	from.links = append(from.links, l)
}

// wake sends what the peers of an entry don't have yet.
func (e *simEntry) wake() {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	for _, l := range e.links {
		e.f.schedule(l)
	}
}

func (f *fleet) schedule(l *simLink) {
	if l.scheduled || f.ended {
		return
	}
	l.scheduled = true
	time.AfterFunc(max(0, time.Until(l.readyAt))+linkLatency, l.send)
}

func (l *simLink) send() {
	f := l.from.f
	f.mu.Lock()
	l.scheduled = false
	l.readyAt = time.Now().Add(linkPause)
	if l.from.cut || l.to.cut || f.ended {
		f.mu.Unlock()
		return
	}
	position := l.position
	l.limiter.SetLimit(rate.Limit(linkEvidencePerSecond / float64(len(l.from.links))))
	f.mu.Unlock()
	batch, position := l.from.set.Since(position, int(l.limiter.Tokens()))
	l.limiter.AllowN(time.Now(), len(batch))
	text, err := json.Marshal(batch)
	rest, _ := l.from.set.Since(position, 1)
	f.mu.Lock()
	l.position = position
	if err == nil && len(batch) > 0 {
		f.result.bytes += 2 * (len(text) + 60) // sent and received, with the envelope
	}
	if len(rest) > 0 {
		l.readyAt = time.Now().Add(linkRetry)
		f.schedule(l)
	}
	f.mu.Unlock()
	for _, e := range batch {
		l.to.set.Add(l.from.id, e)
	}
}

// setCut cuts an entry off, or connects it again. A new connection starts from
// the beginning.
func (f *fleet) setCut(e *simEntry, cut bool) {
	f.mu.Lock()
	e.cut = cut
	var reconnected []*simLink
	for _, x := range f.entries {
		for _, l := range x.links {
			if !cut && (l.from == e || l.to == e) {
				l.position = 0
				reconnected = append(reconnected, l)
			}
		}
	}
	f.mu.Unlock()
	time.AfterFunc(200*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, l := range reconnected {
			f.schedule(l)
		}
	})
}
