package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Fleet is one entry's view of all endpoints. It is safe for concurrent use.
type Fleet struct {
	opts    Options
	log     *logrus.Entry
	now     func() time.Time
	view    atomic.Pointer[view]
	weights atomic.Pointer[template.Weights]
	// leaveSeq is the number of hosts that were marked as draining so far.
	leaveSeq  atomic.Uint64
	sampler   sampler
	index     *prefixIndex
	urgencies urgencyMix
	// requests counts the calls of Choose.
	requests atomic.Uint64

	// probeMu guards prober and ejected.
	probeMu sync.Mutex
	prober  prober
	ejected []*replica

	// mu guards the state from which the view is built.
	mu           sync.Mutex
	listedHosts  []infra.Host
	hosts        map[hostKey]*hostState
	replicas     map[replicaKey]*replica
	leavingMarks map[hostKey]leavingMark
	stats        map[groupKey]*groupStats
	market       market
	numbers      numbering
}

// hostKey identifies one incarnation of a host.
type hostKey struct {
	id          string
	incarnation string
}

// replicaKey identifies an endpoint on one incarnation of a host.
type replicaKey struct {
	host     hostKey
	endpoint infra.Endpoint
}

// NewFleet returns a Fleet without hosts.
func NewFleet(opts Options) *Fleet {
	if opts.Policy == "" {
		opts.Policy = PolicyDefault
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Log = nolog.Or(opts.Log)
	f := &Fleet{
		opts:         opts,
		log:          opts.Log,
		now:          opts.Now,
		hosts:        make(map[hostKey]*hostState),
		replicas:     make(map[replicaKey]*replica),
		leavingMarks: make(map[hostKey]leavingMark),
		stats:        make(map[groupKey]*groupStats),
		market:       newMarket(),
		index:        newPrefixIndex(opts.IndexEntries),
	}
	f.weights.Store(&opts.Weights)
	f.sampler.seed(opts.Seed)
	f.view.Store(newView(0))
	return f
}

// SetTemplate applies the weights of a template.
func (f *Fleet) SetTemplate(t *template.Template) {
	w := t.Weights
	f.weights.Store(&w)
}

// Endpoints returns the status of all listed endpoints.
func (f *Fleet) Endpoints() []EndpointStatus {
	now := f.now()
	v := f.view.Load()
	out := make([]EndpointStatus, 0, len(v.all))
	for _, r := range v.all {
		out = append(out, r.status(now))
	}
	return out
}
