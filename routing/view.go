package routing

import "github.com/coltsfootcleat/coltsfootcleat/infra"

// view is an immutable picture of the fleet, replaced as a whole, so that a
// choice takes no lock on it.
type view struct {
	byID map[string]*replica
	all  []*replica
	// byNumber finds the holders in the prefix index.
	byNumber []*replica
	// probed are the engines that may get new work.
	probed []*replica
	// groups hold the endpoints that may get new work.
	groups map[groupKey]*group
}

// groupKey names what a group of endpoints serves: a version of a model, or a
// plain service.
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

func keyOf(e infra.Endpoint) groupKey {
	if e.Kind == infra.KindService {
		return serviceKey(e.Name)
	}
	return engineKey(e.Name, e.Version)
}

// group is the endpoints that can serve the same work.
type group struct {
	replicas []*replica
	// seeds are those of replicas, close together for the rendezvous hash.
	seeds []uint64
	stats *groupStats
	// meanPrice is the mean price of an endpoint's host in money per second.
	meanPrice float64
}

func newView(numbers int) *view {
	return &view{
		byID:     make(map[string]*replica),
		byNumber: make([]*replica, numbers),
		groups:   make(map[groupKey]*group),
	}
}

func (v *view) numbered(n uint32) *replica {
	if int(n) >= len(v.byNumber) {
		return nil
	}
	return v.byNumber[n]
}

// add puts an endpoint in. Those of leaving hosts join no group.
func (v *view) add(r *replica) {
	known := v.byID[r.endpoint.ID]
	if known == nil || known.host.leaving() {
		v.byID[r.endpoint.ID] = r
	}
	v.all = append(v.all, r)
	v.byNumber[r.number] = r
	if r.host.leaving() {
		return
	}
	key := keyOf(r.endpoint)
	g := v.groups[key]
	if g == nil {
		g = &group{stats: r.stats}
		v.groups[key] = g
	}
	g.replicas = append(g.replicas, r)
	g.seeds = append(g.seeds, r.seed)
	g.meanPrice += (r.host.econ.Load().pricePerSecond - g.meanPrice) / float64(len(g.replicas))
	if r.endpoint.Kind == infra.KindEngine {
		v.probed = append(v.probed, r)
	}
}
