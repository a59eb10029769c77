// Package ownership says which entry decides a matter for all: the member that the
// matter's name hashes to, among those heard just now. Entries that hear the
// same members agree on it without a word. One that doesn't answer is left
// alone for a while, and the entry decides by itself.
package ownership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// askPause is how long a keeper that did not answer is not asked again.
const askPause = time.Second

// Owners knows the keepers of all matters of one kind. It is safe for
// concurrent use.
type Owners struct {
	now     func() time.Time
	members func() []string
	log     *logrus.Entry

	mu sync.Mutex
	// silent is until when a keeper is not asked.
	silent map[string]time.Time
}

// New returns the keepers among members, which returns the IDs of those that
// are heard now, this entry's included.
func New(now func() time.Time, members func() []string, log *logrus.Entry) *Owners {
	return &Owners{now: now, members: members, log: log, silent: make(map[string]time.Time)}
}

// Owner returns the member that decides a matter.
func (k *Owners) Owner(matter string) string {
	best, highest := "", uint64(0)
	for _, id := range k.members() {
		if h := xxhash.Sum64String(matter + "/" + id); best == "" || h > highest {
			best, highest = id, h
		}
	}
	return best
}

// Available says whether a keeper may be asked now.
func (k *Owners) Available(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.now().Before(k.silent[id])
}

// MarkUnreachable records that a keeper did not answer.
func (k *Owners) MarkUnreachable(id string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[id] = k.now().Add(askPause)
	k.log.WithError(err).WithField("member", id).Warn("keeper: not reached, this entry decides by itself.")
}
