package routing

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/platform"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Fleet is one entry's view of all endpoints. It is safe for concurrent use.
type Fleet struct {
	opts    Options
	log     *logrus.Entry
	now     func() time.Time
	view    atomic.Pointer[view]
	weights atomic.Pointer[template.Weights]
	// leaveSeq numbers MarkLeaving calls.
	leaveSeq atomic.Uint64
	sampler  sampler

	// mu guards what builds the view.
	mu       sync.Mutex
	listed   []platform.Host
	hosts    map[hostKey]*hostState
	replicas map[string]*replica
	left     map[hostKey]leavingMark
}

// hostKey names one incarnation of a host.
type hostKey struct {
	id          string
	incarnation string
}

// NewFleet returns a Fleet without hosts.
func NewFleet(opts Options) *Fleet {
	if opts.Policy == "" {
		opts.Policy = PolicyDefault
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		silent.SetLevel(logrus.PanicLevel)
		opts.Log = logrus.NewEntry(silent)
	}
	f := &Fleet{
		opts:     opts,
		log:      opts.Log,
		now:      opts.Now,
		hosts:    make(map[hostKey]*hostState),
		replicas: make(map[string]*replica),
		left:     make(map[hostKey]leavingMark),
	}
	f.weights.Store(&opts.Weights)
	f.sampler.seed(opts.Seed)
	f.view.Store(newView())
	return f
}

// SetTemplate takes over the weights of a template.
func (f *Fleet) SetTemplate(t *template.Template) {
	w := t.Weights
	f.weights.Store(&w)
}

// Endpoints returns the status of all listed endpoints.
func (f *Fleet) Endpoints() []EndpointStatus {
	now := f.now()
	v := f.view.Load()
	out := make([]EndpointStatus, 0, len(v.byID))
	for _, r := range v.all {
		out = append(out, r.status(now))
	}
	return out
}
