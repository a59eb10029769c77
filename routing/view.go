package routing

import "github.com/coltsfootcleat/coltsfootcleat/infra"

// view is an immutable snapshot of the fleet. Each change publishes a new
// view, so that a choice reads it without a lock.
type view struct {
	byID map[string]*replica
	all  []*replica
	// byNumber resolves the endpoint numbers in the prefix index.
	byNumber []*replica
	// probeTargets are the engines on hosts that are not draining.
	probeTargets []*replica
	// groups contains only endpoints on hosts that are not draining.
	groups map[groupKey]*group
}

// groupKey identifies what a group of endpoints serves: a version of a model,
// or a plain service.
type groupKey struct {
	kind    infra.EndpointKind
	name    string
	version string
}

func engineKey(model, version string) groupKey {
	return groupKey{infra.KindEngine, model, version}
}

func serviceKey(name string) groupKey {
	return groupKey{infra.KindService, name, ""}
}

func groupKeyOf(e infra.Endpoint) groupKey {
	if e.Kind == infra.KindService {
		return serviceKey(e.Name)
	}
	return engineKey(e.Name, e.Version)
}

// group is the set of endpoints that serve the same model version or service.
type group struct {
	replicas []*replica
	// seeds are the seeds of replicas, in one slice for the locality of the
	// rendezvous hash's scan.
	seeds []uint64
	stats *groupStats
	// meanPrice is the mean price of the endpoints' hosts per second.
	meanPrice float64
}

func newView(numbers int) *view {
	return &view{
		byID:     make(map[string]*replica),
		byNumber: make([]*replica, numbers),
		groups:   make(map[groupKey]*group),
	}
}

func (v *view) replicaByNumber(n uint32) *replica {
	if int(n) >= len(v.byNumber) {
		return nil
	}
	return v.byNumber[n]
}

// add adds an endpoint. Endpoints of draining hosts are in no group.
func (v *view) add(r *replica) {
	existing := v.byID[r.endpoint.ID]
	if existing == nil || existing.host.leaving() {
		v.byID[r.endpoint.ID] = r
	}
	v.all = append(v.all, r)
	v.byNumber[r.number] = r
	if r.host.leaving() {
		return
	}
	key := groupKeyOf(r.endpoint)
	g := v.groups[key]
	if g == nil {
		g = &group{stats: r.stats}
		v.groups[key] = g
	}
	g.replicas = append(g.replicas, r)
	g.seeds = append(g.seeds, r.seed)
	g.meanPrice += (r.host.economics.Load().pricePerSecond - g.meanPrice) / float64(len(g.replicas))
	if r.endpoint.Kind == infra.KindEngine {
		v.probeTargets = append(v.probeTargets, r)
	}
}
