package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
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
func (f *Fleet) SetHosts(hosts []infra.Host) {
	var found []leavingHost
	f.mu.Lock()
	f.listed = hosts
	now := f.now()
	for _, h := range hosts {
		key := hostKey{h.ID, h.Incarnation}
		mark, marked := f.left[key]
		if !marked && h.State == infra.HostLeaving {
			mark = leavingMark{reason: ReasonHostList}
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
	f.market.expose(now, f.hosts)
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
	if reason != ReasonOperator {
		f.market.lose(&h.Host)
	}
}

// rebuild publishes a new view of the listed hosts. f.mu is held.
func (f *Fleet) rebuild() {
	hosts := make(map[hostKey]*hostState, len(f.listed))
	replicas := make(map[replicaKey]*replica, len(f.replicas))
	var order []*replica
	for i := range f.listed {
		h := f.hostOf(&f.listed[i])
		key := hostKey{h.ID, h.Incarnation}
		hosts[key] = h
		for _, e := range f.listed[i].Endpoints {
			r := f.replicaOf(replicaKey{key, e}, h)
			replicas[replicaKey{key, e}] = r
			order = append(order, r)
		}
	}
	f.retire(hosts, replicas)
	v := newView(f.numbers.count())
	for _, r := range order {
		v.add(r)
	}
	f.view.Store(v)
}

// hostOf returns the state of a listed host, with its leaving mark, price and
// loss rate. f.mu is held.
func (f *Fleet) hostOf(listed *infra.Host) *hostState {
	key := hostKey{listed.ID, listed.Incarnation}
	h := f.hosts[key]
	if h == nil {
		h = &hostState{Host: *listed}
		f.hosts[key] = h
	}
	h.econ.Store(f.market.of(listed))
	if mark, ok := f.left[key]; ok {
		f.markHost(key, mark.reason)
	}
	return h
}

// replicaOf returns the state of an endpoint, kept while it is listed
// unchanged on the same incarnation of its host. f.mu is held.
func (f *Fleet) replicaOf(key replicaKey, h *hostState) *replica {
	if r := f.replicas[key]; r != nil {
		return r
	}
	group := keyOf(key.endpoint)
	stats := f.stats[group]
	if stats == nil {
		stats = &groupStats{}
		f.stats[group] = stats
	}
	r := &replica{
		endpoint: key.endpoint,
		host:     h,
		stats:    stats,
		seed:     xxhash.Sum64String(key.endpoint.ID),
	}
	var age uint32
	r.number, age = f.numbers.take()
	r.age.value.Store(age)
	f.replicas[key] = r
	return r
}

// retire drops what is listed no longer. A host that vanished without a mark
// counts as lost. f.mu is held.
func (f *Fleet) retire(hosts map[hostKey]*hostState, replicas map[replicaKey]*replica) {
	for key, h := range f.hosts {
		if hosts[key] == nil && !h.leaving() {
			f.market.lose(&h.Host)
		}
	}
	for key, r := range f.replicas {
		if replicas[key] == nil {
			f.numbers.give(r.number, r.age.value.Load())
		}
	}
	f.hosts = hosts
	f.replicas = replicas
}
