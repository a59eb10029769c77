package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// trialInterval is the time after the last crash in which banned requests
	// get no trial.
	trialInterval = 10 * time.Minute
	// weakTrialInterval is the shortest such time if the ban rests on weak evidence, which
	// may be that of other causes. trialBackoff is the ratio of that time to the time
	// from the first crash to the last.
	weakTrialInterval = 30 * time.Second
	trialBackoff      = 3
	// trialTurn is how long one entry may admit the request on trial, before it
	// is another one's turn.
	trialTurn = time.Minute
)

// trial is a request that was admitted although it is banned.
type trial struct {
	at       time.Time
	versions string
}

// admitOnTrialLocked reports whether this entry may admit a banned request now,
// to learn whether it still crashes replicas.
func (s *Set) admitOnTrialLocked(b *ban) bool {
	versions, replaced := s.replacedBy(b)
	now, last := time.Now(), b.lastCrash()
	previous := s.trials[b.key()]
	interval := b.trialInterval()
	due := last.Add(interval)
	switch {
	case replaced && previous.versions != versions:
		due = last
	case previous.at.After(last):
		due = previous.at.Add(interval)
	}
	if now.Before(due) || !s.isTurn(b.key(), now.Sub(due)) {
		return false
	}
	s.trials[b.key()] = trial{at: now, versions: versions}
	s.opt.Count("trial")
	s.opt.Log.WithFields(logrus.Fields{"customer": b.customer, "parts": PartNames(b.parts), "replaced": replaced}).Info("quarantine: request is admitted on trial.")
	return true
}

// trialInterval returns the time after the last crash in which requests get no trial.
func (b *ban) trialInterval() time.Duration {
	strong := filter(b.crashes, func(c *crash) bool { return c.isStrongAgainst(b.parts[0]) })
	if countCrashes(strong) >= minCrashes {
		return trialInterval
	}
	first, last := period(b.crashes)
	return min(max(weakTrialInterval, trialBackoff*last.Sub(first)), trialInterval)
}

// replacedBy returns the versions of the replicas that now run the service on
// which the parts of a ban crashed, and whether none of them has crashed on
// them.
func (s *Set) replacedBy(b *ban) (versions string, replaced bool) {
	crashed := make(map[string]bool)
	for _, c := range b.crashes {
		crashed[c.version] = true
	}
	running := make(map[string]bool)
	for _, r := range s.opt.Ready(b.crashes[0].service) {
		running[r.Version] = true
	}
	replaced = len(running) > 0 && !running[""]
	for version := range running {
		replaced = replaced && !crashed[version]
	}
	return fmt.Sprint(slices.Sorted(maps.Keys(running))), replaced
}

// isTurn reports whether it is the turn of this entry to admit a request. All
// entries with the same members and evidence agree on whose turn it is, but for
// the moments at its ends.
func (s *Set) isTurn(key string, since time.Duration) bool {
	key += "/" + strconv.Itoa(int(since/trialTurn)) + "/"
	best, highest := "", uint64(0)
	for _, id := range s.opt.Members() {
		if h := xxhash.Sum64String(key + id); best == "" || h > highest {
			best, highest = id, h
		}
	}
	return best == s.opt.ID
}
