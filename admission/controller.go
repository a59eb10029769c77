package admission

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
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
	// shares is the sum of all customers' shares.
	shares float64
	pools  map[string]*pool
	// members counts the live entries. It follows the peers heard until
	// SetMembers tells it.
	members     int
	membersTold bool
	peers       map[string]map[string]float64
	// peersSpend is what the other entries report as spent.
	peersSpend map[string]map[string]float64
}

// New returns a Controller that knows no customer until SetTemplate.
func New(opts Options) *Controller {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Log = nolog.Or(opts.Log)
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
		pools:     make(map[string]*pool),
		members:   max(opts.Members, 1),
		shares:    1,
	}
}

// SetTemplate takes over customers, limits and kinds. Requests that wait or
// run go on.
func (c *Controller) SetTemplate(t *template.Template) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tmpl = t
	known := make(map[string]*customer, len(t.Customers))
	c.shares = 0
	for _, params := range t.Customers {
		cu := c.customers[params.Name]
		if cu == nil {
			cu = newCustomer(c.now())
		}
		cu.params = params
		known[params.Name] = cu
		c.shares += params.Share
	}
	c.customers = known
	c.divide()
}

// SetPeers takes over the demand of the other live entries, by entry and
// customer, in tokens per second.
func (c *Controller) SetPeers(demand map[string]map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = demand
	if !c.membersTold {
		c.members = len(demand) + 1
	}
	c.divide()
}

// SetPeerSpend takes over what the other live entries spent in the last hour,
// by entry and customer.
func (c *Controller) SetPeerSpend(spend map[string]map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peersSpend = spend
}

// SetMembers tells the number of live entries, this one included, also those
// of which no digest was heard.
func (c *Controller) SetMembers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = max(n, 1)
	c.membersTold = true
	c.divide()
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
// the next digest. Refused requests count.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := make(map[string]float64, len(c.customers))
	for name, cu := range c.customers {
		cu.told = cu.demand.Rate(now)
		out[name] = cu.told
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

// pool returns the pool of a kind's model. c.mu is held.
func (c *Controller) pool(kind string, now time.Time) *pool {
	model := ""
	if k, ok := c.tmpl.Kind(kind); ok {
		model = k.Model
	}
	p := c.pools[model]
	if p == nil {
		p = newPool(model, now)
		c.pools[model] = p
	}
	return p
}

// shareOf returns a customer's share; one that is gone from the template has
// the least. c.mu is held.
func (c *Controller) shareOf(name string) float64 {
	if cu := c.customers[name]; cu != nil {
		return cu.params.Share
	}
	return minShare
}

// logRefusal writes the line of a refusal.
func (c *Controller) logRefusal(r *Request, err error) {
	if !c.log.Logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	c.log.WithFields(logrus.Fields{
		"request":     r.RequestID,
		"customer":    r.Customer,
		"kind":        r.Kind,
		"code":        verdict.CodeOf(err),
		"retry_after": verdict.RetryAfterOf(err),
	}).Info("admission: request refused.")
}
