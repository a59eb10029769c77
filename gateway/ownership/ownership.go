// Package ownership selects the owner of a key, such as a customer's limit. The
// owner is the one entry that decides about the key for all entries. Rendezvous
// hashing over the reachable members assigns each key to one of them, so that
// entries with the same reachable members agree on the owner without
// communication. An entry whose call to an owner failed backs off from it for a
// while and decides locally.
//
// Packages quota and balance call it from the goroutines of many requests.
package ownership

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// unreachableBackoff is the time in which an owner that did not answer gets no
// calls from this entry.
const unreachableBackoff = time.Second

// lastBackoff is unreachableBackoff where the owner is the last one that can be
// called: without it, requests larger than an entry's own part are refused.
const lastBackoff = 200 * time.Millisecond

// Owners selects the owners of all keys of one kind. It is safe for concurrent
// use.
type Owners struct {
	now     func() time.Time
	members func() []string
	log     *logrus.Entry

	mu sync.Mutex
	// backoffUntil holds, by member, the time until which it gets no calls.
	backoffUntil map[string]time.Time
}

// New returns an Owners. The function members returns the IDs of the members
// that are reachable now, including this entry.
func New(now func() time.Time, members func() []string, log *logrus.Entry) *Owners {
	return &Owners{now: now, members: members, log: log, backoffUntil: make(map[string]time.Time)}
}

// Owner returns the member that owns a key.
func (o *Owners) Owner(key string) string {
	best, highest := "", uint64(0)
	for _, id := range o.members() {
		if h := xxhash.Sum64String(key + "/" + id); best == "" || h > highest {
			best, highest = id, h
		}
	}
	return best
}

// Ranked returns the first n members for a key, the owner first. All entries with
// the same reachable members get the same.
func (o *Owners) Ranked(key string, n int) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	members := o.members()
	ranked := make([]weighted, 0, len(members))
	for _, id := range members {
		ranked = append(ranked, weighted{id, xxhash.Sum64String(key + "/" + id)})
	}
	var out []string
	for range min(n, len(ranked)) {
		best := 0
		for i, m := range ranked {
			if m.weight > ranked[best].weight {
				best = i
			}
		}
		out = append(out, ranked[best].id)
		ranked = slices.Delete(ranked, best, best+1)
	}
	return out
}

// Available reports whether an owner may be called now, which is the case
// unless it is backed off.
func (o *Owners) Available(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.now().Before(o.backoffUntil[id])
}

// MarkUnreachable backs off from an owner that did not answer.
func (o *Owners) MarkUnreachable(id string, err error) {
	o.markUnreachable(id, unreachableBackoff, err)
}

// MarkLastUnreachable backs off only shortly from an owner that did not answer,
// because there is no other one to call.
func (o *Owners) MarkLastUnreachable(id string, err error) {
	o.markUnreachable(id, lastBackoff, err)
}

func (o *Owners) markUnreachable(id string, backoff time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.backoffUntil[id] = o.now().Add(backoff)
	o.log.WithError(err).WithField("member", id).Warn("ownership: owner unreachable, another one or this entry decides.")
}
