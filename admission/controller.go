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
	// totalShare is the sum of the customers' fair-queueing shares.
	totalShare float64
	pools      map[string]*pool
	// members is the number of live entries. It is derived from the peers
	// that reported demand until SetMemberCount is called.
	members        int
	memberCountSet bool
	// demandByPeer is the demand in tokens per second that the other entries
	// reported, by entry and customer.
	demandByPeer map[string]map[string]float64
	// spendByPeer is the spend of the last hour that the other entries
	// reported, by entry and customer.
	spendByPeer map[string]map[string]float64
}

// New returns a Controller without customers; SetTemplate sets them.
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
		opts:       opts,
		log:        opts.Log,
		now:        opts.Now,
		customers:  make(map[string]*customer),
		pools:      make(map[string]*pool),
		members:    max(opts.MemberCount, 1),
		totalShare: 1,
	}
}

// SetTemplate applies the customers, limits and kinds of a template. Requests
// that wait or are in flight are not affected.
func (c *Controller) SetTemplate(t *template.Template) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tmpl = t
	customers := make(map[string]*customer, len(t.Customers))
	c.totalShare = 0
	for _, params := range t.Customers {
		cu := c.customers[params.Name]
		if cu == nil {
			cu = newCustomer(c.now())
		}
		cu.params = params
		customers[params.Name] = cu
		c.totalShare += params.Share
	}
	c.customers = customers
	c.resizeBuckets()
}

// SetPeerDemand sets the demand that the other live entries reported, by entry
// and customer, in tokens per second.
func (c *Controller) SetPeerDemand(demand map[string]map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demandByPeer = demand
	if !c.memberCountSet {
		c.members = len(demand) + 1
	}
	c.resizeBuckets()
}

// SetPeerSpend sets what the other live entries spent in the last hour, by
// entry and customer.
func (c *Controller) SetPeerSpend(spend map[string]map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spendByPeer = spend
}

// SetMemberCount sets the number of live entries, including this one and those
// that have not reported their state.
func (c *Controller) SetMemberCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = max(n, 1)
	c.memberCountSet = true
	c.resizeBuckets()
}

// Retry withdraws one retry from a customer's retry budget. It returns false
// when the budget is exhausted.
func (c *Controller) Retry(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.customers[name]
	return cu != nil && cu.retries.withdraw()
}

// Demand returns this entry's demand per customer in tokens per second, for the
// next state update to the peers. Refused requests count.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out := make(map[string]float64, len(c.customers))
	for name, cu := range c.customers {
		cu.publishedDemand = cu.demand.Rate(now)
		out[name] = cu.publishedDemand
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

// pool returns the pool of a kind's model. The caller holds c.mu.
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

// shareOf returns a customer's share, or minShare for a customer that is no
// longer in the template. The caller holds c.mu.
func (c *Controller) shareOf(name string) float64 {
	if cu := c.customers[name]; cu != nil {
		return cu.params.Share
	}
	return minShare
}

// logRefusal logs a refused request. The fields are built only if the level is
// enabled.
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
