package rollup

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// The samples of speeds are sums that change slowly, of many replicas. To keep
// messages small, an entry reports only those that changed, and the aggregator
// retains the last report of each replica. In the other direction, an aggregator
// numbers the sums that it publishes, and replies with those that are newer than the
// last one that the entry knows.

const (
	// resendAfter is the time after which unchanged samples are reported and sums are
	// published again, because their weight decays.
	resendAfter = 12 * time.Second
	// minNewWeight is the weight of new samples from which a replica counts as
	// changed.
	minNewWeight = 0.2
	// speedsTTL is how long the samples of one entry are retained.
	speedsTTL = 30 * time.Second
	// maxReportWeight bounds the influence of one entry's samples, which have a
	// weight of about 15 if 17 entries share the requests.
	maxReportWeight = 30.0
	// publishedChange and publishedGrowth are the change of the logarithm of a speed,
	// and the factor of a weight, from which a sum is published again. The noise of a
	// sum of 240 samples is 0.07; a wrong published sum of prefill samples is wrong by
	// the fourth root of the change only.
	publishedChange = 0.1
	publishedGrowth = 1.5
	// maxVersions bounds the number of aggregators whose versions are recorded.
	maxVersions = 64
	// wantAll is the known version of an entry that has no sums yet.
	wantAll = 1
	// sumPeriodPerSender is the time between two sums for each sender in them. To
	// add the samples of one sender takes about ten microseconds.
	sumPeriodPerSender = 3 * time.Millisecond
)

// speedsAt holds samples as of a time.
type speedsAt struct {
	samples peer.SpeedSamples
	at      time.Time
}

func (s speedsAt) decayed(now time.Time) peer.SpeedSamples {
	return s.samples.Scaled(math.Exp(-now.Sub(s.at).Seconds() / speed.Memory.Seconds()))
}

// speedReports holds the last samples of one sender by replica.
type speedReports map[string]speedsAt

// merge replaces the samples that a report contains.
func (s speedReports) merge(reported map[string]peer.SpeedSamples, now time.Time, maxWeight float64) {
	for id, samples := range reported {
		for i, k := range samples.Kinds {
			switch {
			case !k.Valid():
				samples.Kinds[i] = peer.SpeedSample{}
			case k.Weight > maxWeight:
				factor := maxWeight / k.Weight
				samples.Kinds[i] = peer.SpeedSample{Weight: factor * k.Weight, Time: factor * k.Time}
			}
		}
		s[id] = speedsAt{samples, now}
	}
}

// mergeSpeedsLocked replaces the samples that a sender reported.
func (r *Rollup) mergeSpeedsLocked(senders map[string]speedReports, from string, reported map[string]peer.SpeedSamples, now time.Time, maxWeight float64) {
	if len(reported) == 0 || r.opt.Incarnation == nil {
		return
	}
	if senders[from] == nil {
		senders[from] = make(speedReports)
	}
	senders[from].merge(reported, now, maxWeight)
}

// pruneSpeedsLocked drops samples that have expired.
func (r *Rollup) pruneSpeedsLocked(now time.Time) {
	for _, senders := range []map[string]speedReports{r.entrySpeeds, r.domainSpeeds} {
		for sender, reports := range senders {
			for id, v := range reports {
				if now.Sub(v.at) > speedsTTL {
					delete(reports, id)
				}
			}
			if len(reports) == 0 {
				delete(senders, sender)
			}
		}
	}
}

// mergeSumLocked replaces the sums that a reply contains, and lets the others decay.
func (r *Rollup) mergeSumLocked(newer map[string]peer.SpeedSamples, now time.Time) {
	sum := make(map[string]peer.SpeedSamples, len(r.speeds))
	for id, s := range r.speeds {
		if incarnation, ok := r.opt.Incarnation(id); ok && incarnation == s.Incarnation {
			sum[id] = speedsAt{s, r.speedsAt}.decayed(now)
		}
	}
	for id, s := range newer {
		if incarnation, ok := r.opt.Incarnation(id); ok && incarnation == s.Incarnation {
			sum[id] = s
		}
	}
	r.speeds, r.speedsAt = sum, now
}

// knownSpeeds returns the version of the speeds that an aggregator has replied with,
// wantAll if there is none, and 0 if this entry doesn't use them.
func (r *Rollup) knownSpeeds(aggregator string) uint64 {
	if r.opt.Incarnation == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(wantAll, r.versions[aggregator])
}

// setKnownSpeeds records the version of a reply.
func (r *Rollup) setKnownSpeeds(aggregator string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[aggregator] = version
	if len(r.versions) > maxVersions {
		clear(r.versions)
	}
}

// forgetSent makes the next report contain all samples, because the last one may not
// have arrived.
func (r *Rollup) forgetSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentTo = ""
}

// addSpeeds adds samples to a sum by replica. Those of another incarnation than the
// registered one are left out.
func (r *Rollup) addSpeeds(sum map[string]peer.SpeedSamples, id string, samples peer.SpeedSamples) {
	if r.opt.Incarnation == nil {
		return
	}
	if incarnation, ok := r.opt.Incarnation(id); !ok || incarnation != samples.Incarnation {
		return
	}
	total := sum[id]
	total.Incarnation = samples.Incarnation
	sum[id] = total.Plus(samples)
}

// sumSpeedsLocked publishes the sums of the samples of this failure domain and of all
// entries. It does so only after a time that grows with the number of senders, so that
// the cost is bounded.
func (r *Rollup) sumSpeedsLocked(own map[string]peer.SpeedSamples, now time.Time) {
	if r.opt.Incarnation == nil || now.Sub(r.summedAt) < time.Duration(len(r.entrySpeeds))*sumPeriodPerSender {
		return
	}
	r.summedAt = now
	sum := make(map[string]peer.SpeedSamples)
	for id, samples := range own {
		r.addSpeeds(sum, id, samples)
	}
	r.addReports(sum, r.entrySpeeds, now)
	r.domainSum.publish(sum, now)
	r.addReports(sum, r.domainSpeeds, now)
	r.allSum.publish(sum, now)
}

func (r *Rollup) addReports(sum map[string]peer.SpeedSamples, senders map[string]speedReports, now time.Time) {
	for _, reports := range senders {
		for id, v := range reports {
			if now.Sub(v.at) <= speedsTTL {
				r.addSpeeds(sum, id, v.decayed(now))
			}
		}
	}
}

// without returns a sum without the samples of one sender. They may be newer than
// the sum, which then is a little low.
func without(sum map[string]peer.SpeedSamples, own speedReports, now time.Time) map[string]peer.SpeedSamples {
	out := make(map[string]peer.SpeedSamples, len(sum))
	for id, s := range sum {
		if v, found := own[id]; found && v.samples.Incarnation == s.Incarnation {
			for i, k := range v.decayed(now).Kinds {
				s.Kinds[i].Weight -= k.Weight
				s.Kinds[i].Time -= k.Time
			}
		}
		out[id] = s
	}
	return out
}

// unsent returns the samples that the aggregator doesn't have, and records them as
// sent to it.
func (r *Rollup) unsent(aggregator string, own map[string]peer.SpeedSamples, now time.Time) map[string]peer.SpeedSamples {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentTo != aggregator {
		r.sentTo, r.sent = aggregator, make(speedReports)
	}
	out := make(map[string]peer.SpeedSamples)
	for id, samples := range own {
		last, found := r.sent[id]
		if found && last.samples.Incarnation == samples.Incarnation && now.Sub(last.at) < resendAfter && !gained(samples, last.decayed(now)) {
			continue
		}
		out[id] = samples
		r.sent[id] = speedsAt{samples, now}
	}
	for id := range r.sent {
		if _, found := own[id]; !found {
			delete(r.sent, id)
		}
	}
	return out
}

// gained reports whether there are new samples.
func gained(now, before peer.SpeedSamples) bool {
	for i := range now.Kinds {
		if now.Kinds[i].Weight > before.Kinds[i].Weight+minNewWeight {
			return true
		}
	}
	return false
}
