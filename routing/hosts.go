package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// leavingRetention is how long a leaving incarnation is remembered after the
// host list stopped showing it: the list lags and may show it again.
const leavingRetention = 10 * time.Minute

// leavingMark remembers that an incarnation of a host is leaving.
type leavingMark struct {
	reason string
	// listed is when the incarnation was last in the host list, or marked.
	listed time.Time
}

// SetHosts takes over a host list. The list lags: an incarnation marked as
// leaving stays so, whatever the list says.
func (f *Fleet) SetHosts(hosts []platform.Host) {
	var found []leavingHost
	f.mu.Lock()
	f.listed = hosts
	now := f.now()
	for _, h := range hosts {
		key := hostKey{h.ID, h.Incarnation}
		mark, marked := f.left[key]
		if !marked && h.State == platform.HostLeaving {
			mark = leavingMark{reason: "host list"}
			found = append(found, leavingHost{key, mark.reason})
			marked = true
		}
		if marked {
			mark.listed = now
			f.left[key] = mark
		}
	}
	for key, mark := range f.left {
		if now.Sub(mark.listed) > leavingRetention {
			delete(f.left, key)
		}
	}
	f.rebuild()
	f.mu.Unlock()
	f.tellLeaving(found)
}

// MarkLeaving takes a host out of use from now on. An empty incarnation means
// the one last listed. The mark sticks to the incarnation. It returns true
// when the mark is new.
func (f *Fleet) MarkLeaving(hostID, incarnation, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation == "" {
		incarnation = f.incarnation(hostID)
	}
	key := hostKey{hostID, incarnation}
	if _, ok := f.left[key]; ok {
		return false
	}
	f.left[key] = leavingMark{reason: reason, listed: f.now()}
	f.markHost(key, reason)
	f.log.WithField("host", hostID).WithField("reason", reason).Info("routing: host is leaving.")
	f.rebuild()
	return true
}

// Leaving says whether the listed incarnation of a host is leaving.
func (f *Fleet) Leaving(hostID string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.left[hostKey{hostID, f.incarnation(hostID)}]
	return ok
}

// leavingHost is a host found to be leaving.
type leavingHost struct {
	key    hostKey
	reason string
}

func (f *Fleet) tellLeaving(hosts []leavingHost) {
	for _, h := range hosts {
		f.log.WithField("host", h.key.id).WithField("reason", h.reason).Info("routing: host is leaving.")
		if f.opts.OnLeaving != nil {
			f.opts.OnLeaving(h.key.id, h.key.incarnation, h.reason)
		}
	}
}

// incarnation returns the last listed incarnation of a host. f.mu is held.
func (f *Fleet) incarnation(hostID string) string {
	for i := range f.listed {
		if f.listed[i].ID == hostID {
			return f.listed[i].Incarnation
		}
	}
	return ""
}

// markHost marks a known host, before the view without it is published, so
// that a choice under way can't reserve it. f.mu is held.
func (f *Fleet) markHost(key hostKey, reason string) {
	h, ok := f.hosts[key]
	if !ok || h.leaving() {
		return
	}
	h.reason = reason
	// The host's mark goes first: whoever reads the new sequence must also
	// see the host as leaving.
	seq := f.leaveSeq.Load() + 1
	h.leavingSeq.Store(seq)
	f.leaveSeq.Store(seq)
}

// rebuild publishes a new view of the listed hosts. f.mu is held.
func (f *Fleet) rebuild() {
	hosts := make(map[hostKey]*hostState, len(f.listed))
	replicas := make(map[string]*replica, len(f.replicas))
	v := newView()
	for _, listed := range f.listed {
		key := hostKey{listed.ID, listed.Incarnation}
		h := f.hosts[key]
		if h == nil || !sameHost(&h.Host, &listed) {
			h = &hostState{Host: listed}
		}
		hosts[key] = h
		f.hosts[key] = h
		if mark, ok := f.left[key]; ok {
			f.markHost(key, mark.reason)
		}
		for _, e := range listed.Endpoints {
			r := f.replicaOf(e, h)
			replicas[e.ID] = r
			v.add(r)
		}
	}
	f.hosts = hosts
	f.replicas = replicas
	f.view.Store(v)
}

// replicaOf returns the state of an endpoint, kept while its host and its
// listed properties stay the same. f.mu is held.
func (f *Fleet) replicaOf(e platform.Endpoint, h *hostState) *replica {
	r := f.replicas[e.ID]
	if r != nil && r.host == h && r.endpoint == e {
		return r
	}
	return &replica{endpoint: e, host: h, seed: xxhash.Sum64String(e.ID)}
}

// sameHost compares what the choice depends on, but for the endpoints.
func sameHost(a, b *platform.Host) bool {
	return a.FailureDomain == b.FailureDomain && a.Region == b.Region && a.Class == b.Class &&
		a.Reclaimable == b.Reclaimable && a.PricePerHour == b.PricePerHour
}
