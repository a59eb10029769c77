package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// leavingRetention is how long the mark of a draining incarnation is retained
// after its last appearance in the host list. The list lags, so that the
// incarnation may appear again.
const leavingRetention = 10 * time.Minute

// leavingMark records that an incarnation of a host is draining.
type leavingMark struct {
	reason string
	// lastListed is the time at which the incarnation was last in the host
	// list or, if later, was marked.
	lastListed time.Time
}

// SetHosts applies a host list. The list lags, so that an incarnation marked as
// draining remains so, whatever its state in the list.
func (f *Fleet) SetHosts(hosts []infra.Host) {
	var detected []leavingHost
	f.mu.Lock()
	f.listedHosts = hosts
	now := f.now()
	for _, h := range hosts {
		key := hostKey{h.ID, h.Incarnation}
		mark, marked := f.leavingMarks[key]
		if !marked && h.State == infra.HostLeaving {
			mark = leavingMark{reason: ReasonHostList}
			detected = append(detected, leavingHost{key, mark.reason})
			marked = true
		}
		if marked {
			mark.lastListed = now
			f.leavingMarks[key] = mark
		}
	}
	for key, mark := range f.leavingMarks {
		if now.Sub(mark.lastListed) > leavingRetention {
			delete(f.leavingMarks, key)
		}
	}
	f.market.addHostHours(now, f.hosts)
	f.rebuild()
	f.mu.Unlock()
	f.notifyLeaving(detected)
}

// MarkLeaving marks an incarnation of a host as draining: its endpoints are not
// chosen any more. An empty incarnation means the one last listed. The mark
// stays in force as long as the incarnation is listed. MarkLeaving returns true
// if the mark is new.
func (f *Fleet) MarkLeaving(hostID, incarnation, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation == "" {
		incarnation = f.listedIncarnation(hostID)
	}
	key := hostKey{hostID, incarnation}
	if _, ok := f.leavingMarks[key]; ok {
		return false
	}
	f.leavingMarks[key] = leavingMark{reason: reason, lastListed: f.now()}
	f.markHost(key, reason)
	f.log.WithField("host", hostID).WithField("reason", reason).Info("routing: host is draining.")
	f.rebuild()
	return true
}

// Leaving reports whether the listed incarnation of a host is draining.
func (f *Fleet) Leaving(hostID string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.leavingMarks[hostKey{hostID, f.listedIncarnation(hostID)}]
	return ok
}

// leavingHost is a host that the Fleet detected as draining.
type leavingHost struct {
	key    hostKey
	reason string
}

func (f *Fleet) notifyLeaving(hosts []leavingHost) {
	for _, h := range hosts {
		f.log.WithField("host", h.key.id).WithField("reason", h.reason).Info("routing: host is draining.")
		if f.opts.OnLeaving != nil {
			f.opts.OnLeaving(h.key.id, h.key.incarnation, h.reason)
		}
	}
}

// listedIncarnation returns the last listed incarnation of a host, or an empty
// string. f.mu is held.
func (f *Fleet) listedIncarnation(hostID string) string {
	for i := range f.listedHosts {
		if f.listedHosts[i].ID == hostID {
			return f.listedHosts[i].Incarnation
		}
	}
	return ""
}

// markHost marks the state of a host as draining, if there is one. It runs
// before the view without the host is published, so that a choice that uses the
// old view can't reserve work on the host. f.mu is held.
func (f *Fleet) markHost(key hostKey, reason string) {
	h, ok := f.hosts[key]
	if !ok || h.leaving() {
		return
	}
	h.leavingReason = reason
	// The host's sequence is stored first: a reader of the new leaveSeq must
	// also see the host as draining.
	seq := f.leaveSeq.Load() + 1
	h.leavingSeq.Store(seq)
	f.leaveSeq.Store(seq)
	if reason != ReasonOperator {
		f.market.recordLoss(&h.Host)
	}
}

// rebuild publishes a new view of the listed hosts. f.mu is held.
func (f *Fleet) rebuild() {
	hosts := make(map[hostKey]*hostState, len(f.listedHosts))
	replicas := make(map[replicaKey]*replica, len(f.replicas))
	var order []*replica
	for i := range f.listedHosts {
		h := f.hostOf(&f.listedHosts[i])
		key := hostKey{h.ID, h.Incarnation}
		hosts[key] = h
		for _, e := range f.listedHosts[i].Endpoints {
			r := f.replicaOf(replicaKey{key, e}, h)
			replicas[replicaKey{key, e}] = r
			order = append(order, r)
		}
	}
	f.replaceListed(hosts, replicas)
	v := newView(f.numbers.count())
	for _, r := range order {
		v.add(r)
	}
	f.view.Store(v)
}

// hostOf returns the state of a listed host, created if necessary, with its
// leaving mark, price and loss rate up to date. f.mu is held.
func (f *Fleet) hostOf(listed *infra.Host) *hostState {
	key := hostKey{listed.ID, listed.Incarnation}
	h := f.hosts[key]
	if h == nil {
		h = &hostState{Host: *listed}
		f.hosts[key] = h
	}
	h.economics.Store(f.market.economicsOf(listed))
	if mark, ok := f.leavingMarks[key]; ok {
		f.markHost(key, mark.reason)
	}
	return h
}

// replicaOf returns the state of an endpoint, created if necessary. The state
// is retained while the endpoint is listed unchanged on the same incarnation of
// its host. f.mu is held.
func (f *Fleet) replicaOf(key replicaKey, h *hostState) *replica {
	if r := f.replicas[key]; r != nil {
		return r
	}
	group := groupKeyOf(key.endpoint)
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
	r.number, age = f.numbers.allocate()
	r.age.value.Store(age)
	f.replicas[key] = r
	return r
}

// replaceListed replaces the hosts and replicas by the listed ones and releases
// the others. A host that disappeared without a mark counts as lost. f.mu is
// held.
func (f *Fleet) replaceListed(hosts map[hostKey]*hostState, replicas map[replicaKey]*replica) {
	for key, h := range f.hosts {
		if hosts[key] == nil && !h.leaving() {
			f.market.recordLoss(&h.Host)
		}
	}
	for key, r := range f.replicas {
		if replicas[key] == nil {
			f.numbers.release(r.number, r.age.value.Load())
		}
	}
	f.hosts = hosts
	f.replicas = replicas
}
