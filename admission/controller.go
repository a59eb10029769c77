package admission

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Controller admits the requests of one entry. It is safe for concurrent use.
type Controller struct {
	opts Options
	log  *logrus.Entry
	now  func() time.Time

	mu        sync.Mutex
	tmpl      *template.Template
	customers map[string]*customer
	members   int
	peers     map[string]map[string]float64
}

// New returns a Controller that knows no customer until SetTemplate.
func New(opts Options) *Controller {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		silent.SetLevel(logrus.PanicLevel)
		opts.Log = logrus.NewEntry(silent)
	}
	if opts.MaxInFlight <= 0 {
		opts.MaxInFlight = DefaultMaxInFlight
	}
	if opts.MaxQueue <= 0 {
		opts.MaxQueue = DefaultMaxQueue
	}
	return &Controller{
		opts:      opts,
		log:       opts.Log,
		now:       opts.Now,
		customers: make(map[string]*customer),
		members:   max(opts.Members, 1),
	}
}

// SetTemplate takes over customers, limits and kinds.
func (c *Controller) SetTemplate(t *template.Template) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tmpl = t
	known := make(map[string]*customer, len(t.Customers))
	for _, params := range t.Customers {
		cu := c.customers[params.Name]
		if cu == nil {
			cu = newCustomer(c.now())
		}
		cu.setParams(params)
		known[params.Name] = cu
	}
	c.customers = known
	c.share()
}

// SetPeers takes over the demand of the other live entries, by entry and
// customer, in tokens per second.
func (c *Controller) SetPeers(demand map[string]map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = demand
	c.members = len(demand) + 1
	c.share()
}

// SetMembers tells the number of live entries, this one included. It is for
// an entry that has heard of others but has no digest of them.
func (c *Controller) SetMembers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = max(n, len(c.peers)+1)
	c.share()
}

// Admit waits until the request may start. Its error is verdict.NotRun.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.customers[r.Customer]
	if cu == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown customer")
	}
	now := c.now()
	cu.demand.add(now, float64(r.Tokens))
	if !r.Resumed {
		if wait := cu.overCeiling(now); wait > 0 {
			return nil, verdict.New(verdict.NotRun, verdict.CodeLimited, "cost ceiling reached").WithRetryAfter(wait)
		}
		if wait := cu.bucket.take(now, float64(r.Tokens)); wait > 0 {
			return nil, verdict.New(verdict.NotRun, verdict.CodeLimited, "token limit reached").WithRetryAfter(wait)
		}
		cu.retries.earn()
	}
	return &Ticket{controller: c, customer: cu, charged: r.Tokens}, nil
}

// Retry takes one retry from a customer's retry budget. It returns false when
// the budget is spent.
func (c *Controller) Retry(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.customers[name]
	return cu != nil && cu.retries.spend()
}

// Demand returns this entry's demand per customer in tokens per second, for
// the next digest.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := make(map[string]float64, len(c.customers))
	for name, cu := range c.customers {
		out[name] = cu.demand.rate(now)
	}
	return out
}

// Spend returns what each customer spent through this entry in the last hour.
func (c *Controller) Spend() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := make(map[string]float64, len(c.customers))
	for name, cu := range c.customers {
		out[name] = cu.spend.total(now)
	}
	return out
}

// share divides each limit among the entries. c.mu is held.
func (c *Controller) share() {
	now := c.now()
	for name, cu := range c.customers {
		cu.setPart(now, c.part(now, name, cu))
	}
}
