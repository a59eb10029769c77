package balance

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
)

// engineTime is a predicted time in seconds at speed 1.
type engineTime struct{ prefill, decode float64 }

// at returns the time at a speed.
func (t engineTime) at(e speed.Estimate) float64 { return t.prefill/e.Prefill + t.decode/e.Decode }

// engineTimeLocked returns the predicted time to the first token at speed 1.
func (b *Balancer) engineTimeLocked(service string, tokens, inFlight, slots float64) engineTime {
	fit := b.prefillRateLocked(service)
	t := engineTime{prefill: fit.base + tokens/fit.perSecond, decode: inFlight * delayPerRunning.Seconds()}
	if excess := inFlight + 1 - slots; excess > 0 {
		t.decode += excess / slots * meanSlotTime.Seconds()
	}
	return t
}

// engineCostLocked returns the predicted time to the first token and the cost in
// seconds, given the time at speed 1. If speeds are relative, long prompts are sent to
// the replica that is the fastest for them. Others are distributed by speed. Their
// cost is that of the time even, which is predicted with the load of other entries
// distributed evenly.
func (b *Balancer) engineCostLocked(q Query, r *replica.Replica, t, even engineTime, cached int, speeds serviceSpeeds, now time.Time) (time.Duration, float64) {
	st := b.stateLocked(r)
	e := speeds.of(r)
	predicted := t.at(e)
	compared, jitter := predicted, engineJitter.Seconds()*b.random.Float64()
	if speeds.relative && !b.isLong(q, q.PromptTokens-cached) {
		compared = even.at(speed.Estimate{Prefill: min(1, e.Prefill/slowReplica), Decode: min(1, e.Decode/slowReplica)})
		jitter = speeds.spread(b.random.ExpFloat64(), engineJitter.Seconds()/2, e.Prefill)
	}
	if speeds.relative {
		// Without it, replicas with more load than others would not be avoided, because
		// speeds don't contain the effects of queues.
		predicted *= max(1, st.congestion)
		compared *= max(1, st.congestion)
	}
	if r.ColdRemaining > now.Sub(r.Seen) {
		predicted *= coldFactor
		compared *= coldFactor
	}
	cost := compared*(1+failurePenalty*st.failures.rate(now)) + jitter
	cost += cacheAffinity * float64(max(0, q.sharedTokens()-cached)) / b.prefillRateLocked(q.Service).perSecond
	return time.Duration(predicted * float64(time.Second)), cost
}
