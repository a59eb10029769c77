// Package ownership selects the entry that owns a key, such as a customer's
// limit, and decides about it for all entries: rendezvous hashing over the
// reachable members assigns each key to one of them. Entries with the same
// reachable members agree on the owner without communication. An entry whose
// call to an owner failed backs off from it for a while and decides locally.
//
// Packages quota and balance call it from the goroutines of many requests.
package ownership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// unreachableBackoff is how long an owner that did not answer gets no calls.
const unreachableBackoff = time.Second

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
func (k *Owners) Owner(key string) string {
	best, highest := "", uint64(0)
	for _, id := range k.members() {
		if h := xxhash.Sum64String(key + "/" + id); best == "" || h > highest {
			best, highest = id, h
		}
	}
	return best
}

// Available returns whether an owner may be called now.
func (k *Owners) Available(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.now().Before(k.backoffUntil[id])
}

// MarkUnreachable backs off from an owner that did not answer.
func (k *Owners) MarkUnreachable(id string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backoffUntil[id] = k.now().Add(unreachableBackoff)
	k.log.WithError(err).WithField("member", id).Warn("ownership: owner unreachable, this entry decides locally.")
}
