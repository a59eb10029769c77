package rollup

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// publication holds the published sums of speeds by replica.
type publication struct {
	// first and last are the versions before the first and of the last sum. first is
	// random, so that a version of another process is not taken for one of this.
	first, last uint64
	sums        map[string]publishedSum
}

type publishedSum struct {
	speedsAt
	version uint64
}

// maxReplySums bounds the sums of one reply. An aggregator replies to a hundred entries a
// second in a large deployment, where the sums of thousands of replicas change all the time.
// The others follow with the next replies.
const maxReplySums = 128

// maxFirstVersion keeps versions exact in JSON numbers.
const maxFirstVersion = 1 << 52

func newPublication() publication {
	first := wantAll + 1 + rand.Uint64N(maxFirstVersion)
	return publication{first: first, last: first, sums: make(map[string]publishedSum)}
}

// publish publishes the sums that differ from the published ones.
func (p *publication) publish(sums map[string]peer.SpeedSamples, now time.Time) {
	for id, s := range sums {
		old, found := p.sums[id]
		if found && now.Sub(old.at) < resendAfter && !changed(s, old.samples) {
			continue
		}
		p.last++
		p.sums[id] = publishedSum{speedsAt{s, now}, p.last}
	}
	for id := range p.sums {
		if _, found := sums[id]; !found {
			delete(p.sums, id)
		}
	}
}

func changed(now, before peer.SpeedSamples) bool {
	if now.Incarnation != before.Incarnation {
		return true
	}
	for i, k := range now.Kinds {
		b := before.Kinds[i]
		if k.Valid() != b.Valid() {
			return true
		}
		if k.Valid() && (k.Weight > publishedGrowth*b.Weight || b.Weight > publishedGrowth*k.Weight || math.Abs(k.LogSpeed()-b.LogSpeed()) > publishedChange) {
			return true
		}
	}
	return false
}

// since returns the sums that are newer than a version, as of now, and the version up to
// which they are complete. Of a version that isn't one of this process, it begins with
// the first. It returns at most maxReplySums, the oldest ones.
func (p *publication) since(version uint64, now time.Time) (map[string]peer.SpeedSamples, uint64) {
	if version < p.first || version > p.last {
		version = p.first
	}
	upTo := p.last
	newer := make([]uint64, 0, len(p.sums))
	for _, s := range p.sums {
		if s.version > version {
			newer = append(newer, s.version)
		}
	}
	if len(newer) > maxReplySums {
		slices.Sort(newer)
		upTo = newer[maxReplySums-1]
	}
	out := make(map[string]peer.SpeedSamples, min(len(newer), maxReplySums))
	for id, s := range p.sums {
		if s.version > version && s.version <= upTo {
			out[id] = s.decayed(now)
		}
	}
	return out, upTo
}
