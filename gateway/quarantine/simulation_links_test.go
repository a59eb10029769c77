package quarantine

import (
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// simLink carries the evidence of one entry to another, as a link of package
// peer does.
type simLink struct {
	from, to  *simEntry
	relay     bool
	position  peer.EvidencePosition
	scheduled bool
	readyAt   time.Time
	limiter   *rate.Limiter
}

func newLinkLimiter() *rate.Limiter {
	return rate.NewLimiter(linkEvidenceBytesPerSecond, linkEvidenceBurstBytes)
}

func (f *fleet) connectBoth(x, y *simEntry) {
	f.connect(x, y, true)
	f.connect(y, x, true)
}

func (f *fleet) connect(from, to *simEntry, relay bool) {
	l := &simLink{from: from, to: to, relay: relay, limiter: newLinkLimiter()}
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
	l.limiter.SetLimit(rate.Limit(linkEvidenceBytesPerSecond / float64(len(l.from.links))))
	f.mu.Unlock()
	var batch []peer.CrashEvidence
	sent, due, waits := linkEnvelopeBytes, linkEnvelopeBytes, false
	for {
		next, after := l.from.set.Since(l.to.name(), l.relay, position, 1)
		if len(next) == 0 {
			position = after
			break
		}
		text, err := json.Marshal(next[0])
		if waits = err != nil || !l.limiter.AllowN(time.Now(), due+len(text)); waits {
			break
		}
		batch, position, sent, due = append(batch, next[0]), after, sent+len(text)+1, 0
	}
	f.mu.Lock()
	l.position = position
	if len(batch) > 0 {
		f.result.bytes += 2 * sent // sent and received, with the envelope
	}
	if waits {
		l.readyAt = time.Now().Add(linkRetry)
		f.schedule(l)
	}
	f.mu.Unlock()
	for _, e := range batch {
		l.to.set.Add(l.from.name(), e)
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
				l.position, l.limiter = peer.EvidencePosition{}, newLinkLimiter()
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

// restart replaces an entry by one that knows nothing.
func (f *fleet) restart(e *simEntry) {
	f.setCut(e, true)
	fresh := f.newEntry(0)
	fresh.set.opt.ID = e.id
	f.mu.Lock()
	e.set = fresh.set
	e.starts++
	fresh.set.OnBroadcast(e.wake)
	f.mu.Unlock()
	f.setCut(e, false)
}
