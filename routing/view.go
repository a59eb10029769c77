package routing

import "github.com/coltsfootcleat/coltsfootcleat/platform"

// view is an immutable picture of the fleet, replaced as a whole, so that a
// choice takes no lock on it.
type view struct {
	byID map[string]*replica
	all  []*replica
	// engines and services hold the endpoints that may get new work.
	engines  map[modelKey]*group
	services map[string]*group
}

// modelKey names one version of a model.
type modelKey struct {
	model   string
	version string
}

// group is the endpoints that can serve the same work.
type group struct {
	replicas []*replica
	// seeds are those of replicas, close together for the rendezvous hash.
	seeds []uint64
}

func newView() *view {
	return &view{
		byID:     make(map[string]*replica),
		engines:  make(map[modelKey]*group),
		services: make(map[string]*group),
	}
}

// add puts an endpoint in. Those of leaving hosts join no group.
func (v *view) add(r *replica) {
	v.byID[r.endpoint.ID] = r
	v.all = append(v.all, r)
	if r.host.leaving() {
		return
	}
	var g *group
	if r.endpoint.Kind == platform.KindService {
		g = v.services[r.endpoint.Name]
	} else {
		g = v.engines[modelKey{r.endpoint.Name, r.endpoint.Version}]
	}
	if g == nil {
		g = &group{}
		v.put(r.endpoint, g)
	}
	g.replicas = append(g.replicas, r)
	g.seeds = append(g.seeds, r.seed)
}

func (v *view) put(e platform.Endpoint, g *group) {
	if e.Kind == platform.KindService {
		v.services[e.Name] = g
		return
	}
	v.engines[modelKey{e.Name, e.Version}] = g
}
