package balance

import "time"

// Loads is this entry's view of the load of replicas, for metrics.
type Loads struct {
	// InFlight and Speed are by replica ID.
	InFlight, Speed map[string]float64
	// Age is the age of the loads of the other entries.
	Age time.Duration
	// Imbalance is, by service, the largest number of placed requests in progress on a
	// replica of the groups in which this entry places, relative to the mean.
	Imbalance map[string]float64
}

// Loads returns this entry's view of the load of replicas.
func (b *Balancer) Loads() Loads {
	all := b.set.Current().All
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := Loads{
		InFlight: make(map[string]float64, len(all)), Speed: make(map[string]float64, len(all)),
		Age: b.viewAgeLocked(now), Imbalance: make(map[string]float64),
	}
	for id, r := range all {
		out.InFlight[id] = b.peerLoads[id].inFlight
		if st := b.states[id]; st != nil {
			out.InFlight[id] += float64(st.ownLoad.InFlight)
		}
		e := b.speedOf(r, now)
		out.Speed[id] = e.Prefill
		if b.prefillRates[r.Service] == nil && b.groupedRates[r.Service] == nil {
			out.Speed[id] = e.Work
		}
	}
	for service, p := range b.pools {
		if v := b.imbalanceLocked(p, now); v > 0 {
			out.Imbalance[service] = v
		}
	}
	return out
}

// imbalanceLocked returns the imbalance of the groups in which this entry places, or 0
// if there are none.
func (b *Balancer) imbalanceLocked(p *pools, now time.Time) float64 {
	sum, largest, n := 0, 0, 0
	for _, replicas := range p.members {
		placed := make([]int, len(replicas))
		total := 0
		for i, r := range replicas {
			placed[i] = len(b.placedLocked(r.ID, now))
			total += placed[i]
		}
		if total == 0 {
			continue
		}
		for _, k := range placed {
			sum, largest, n = sum+k, max(largest, k), n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(n) / float64(sum)
}
