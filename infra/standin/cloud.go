package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// CloudFaults are the faults of a Cloud. The zero value has none.
type CloudFaults struct {
	CallFaults
	// RefuseAll refuses every request for a host.
	RefuseAll bool `json:"refuse_all"`
	// RefuseDomains and RefuseClasses refuse requests for hosts in these
	// failure domains and of these classes.
	RefuseDomains []string `json:"refuse_domains"`
	RefuseClasses []string `json:"refuse_classes"`
	// NoticeDelay is the time after which readers see a new notice.
	NoticeDelay time.Duration `json:"notice_delay_ns"`
	// NoticeTwice duplicates every notice, under two sequence numbers.
	NoticeTwice bool `json:"notice_twice"`
	// NoticeLost drops all notices.
	NoticeLost bool `json:"notice_lost"`
	// ReclaimDelay is added to the announced time at which a host is
	// reclaimed. It may be negative.
	ReclaimDelay time.Duration `json:"taken_later_ns"`
}

// refuses reports whether the faults refuse a request for a host.
func (f CloudFaults) refuses(r infra.HostRequest) bool {
	return f.RefuseAll || slices.Contains(f.RefuseDomains, r.FailureDomain) || slices.Contains(f.RefuseClasses, r.Class)
}

// Provisioner starts and stops the machines behind hosts.
type Provisioner interface {
	// Provision starts a host and returns it with its endpoints.
	Provision(infra.HostRequest, infra.Offer) (infra.Host, error)
	// Release stops a host that was released.
	Release(hostID string)
}

// Cloud implements infra.Cloud: it offers hosts and announces reclaims. It is
// safe for concurrent use.
type Cloud struct {
	faultSwitch[CloudFaults]
	fleet *fleet

	mu          sync.Mutex
	offers      []infra.Offer
	requests    map[string]infra.Host
	notices     []notice
	seq         uint64
	created     int
	provisioner Provisioner
}

// notice is a notice with the time from which readers see it, and the announced
// time at which its host is reclaimed.
type notice struct {
	infra.Notice
	visibleFrom, reclaimAt time.Time
}

func newCloud(f *fleet) *Cloud {
	return &Cloud{fleet: f, requests: make(map[string]infra.Host)}
}

// SetOffers replaces the offers of the cloud.
func (c *Cloud) SetOffers(offers []infra.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers = slices.Clone(offers)
}

// SetProvisioner sets the provisioner that starts and stops machines. Without
// one, new hosts have no endpoints.
func (c *Cloud) SetProvisioner(p Provisioner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provisioner = p
}

// Offers implements infra.Cloud.
func (c *Cloud) Offers(ctx context.Context) ([]infra.Offer, error) {
	if err := c.Faults().beginCall(ctx, "cloud"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.offers), nil
}

// Request implements infra.Cloud.
func (c *Cloud) Request(ctx context.Context, r infra.HostRequest) (infra.Host, error) {
	faults := c.Faults()
	if err := faults.beginCall(ctx, "cloud"); err != nil {
		return infra.Host{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, done := c.requests[r.RequestID]; done {
		return h, nil
	}
	offer, found := c.offerLocked(r)
	if !found {
		return infra.Host{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "cloud: no offer for class %q in %q", r.Class, r.FailureDomain)
	}
	if faults.refuses(r) {
		return infra.Host{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cloud: no capacity for class %q in %q", r.Class, r.FailureDomain)
	}
	h, err := c.provisionLocked(r, offer)
	if err != nil {
		return infra.Host{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cloud: %w", err)
	}
	c.requests[r.RequestID] = h
	c.fleet.put(h)
	return h, nil
}

// Release implements infra.Cloud.
func (c *Cloud) Release(ctx context.Context, hostID string) error {
	if err := c.Faults().beginCall(ctx, "cloud"); err != nil {
		return err
	}
	c.mu.Lock()
	p := c.provisioner
	c.mu.Unlock()
	if _, ok := c.fleet.get(hostID); !ok {
		return nil
	}
	c.fleet.remove(hostID)
	if p != nil {
		p.Release(hostID)
	}
	return nil
}

// Notices implements infra.Cloud.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]infra.Notice, error) {
	if err := c.Faults().beginCall(ctx, "cloud"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []infra.Notice
	for _, n := range c.notices {
		if n.visibleFrom.After(now) {
			// A reader skips notices below the last sequence number that it
			// has received. A delayed notice must therefore delay all later
			// ones.
			break
		}
		if n.Seq <= after {
			continue
		}
		visible := n.Notice
		visible.Remaining = max(0, n.reclaimAt.Sub(now))
		out = append(out, visible)
	}
	return out, nil
}

// Announce announces that a host will be reclaimed after remaining, and lists
// it as leaving.
func (c *Cloud) Announce(hostID string, remaining time.Duration) {
	h, ok := c.fleet.get(hostID)
	if !ok {
		return
	}
	h.State = infra.HostLeaving
	c.fleet.put(h)
	faults := c.Faults()
	if faults.NoticeLost {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticeLocked(h, remaining, faults.NoticeDelay)
	if faults.NoticeTwice {
		c.noticeLocked(h, remaining, faults.NoticeDelay)
	}
}

func (c *Cloud) noticeLocked(h infra.Host, remaining, delay time.Duration) {
	c.seq++
	now := time.Now()
	c.notices = append(c.notices, notice{
		Notice:      infra.Notice{Seq: c.seq, HostID: h.ID, Incarnation: h.Incarnation},
		visibleFrom: now.Add(delay),
		reclaimAt:   now.Add(remaining),
	})
}

func (c *Cloud) offerLocked(r infra.HostRequest) (infra.Offer, bool) {
	for _, o := range c.offers {
		if o.FailureDomain == r.FailureDomain && o.Class == r.Class && o.Reclaimable == r.Reclaimable {
			return o, true
		}
	}
	return infra.Offer{}, false
}

func (c *Cloud) provisionLocked(r infra.HostRequest, o infra.Offer) (infra.Host, error) {
	if c.provisioner != nil {
		return c.provisioner.Provision(r, o)
	}
	c.created++
	id := fmt.Sprintf("%s-%s-%d", o.FailureDomain, o.Class, c.created)
	return infra.Host{
		ID: id, Incarnation: id + "-1", FailureDomain: o.FailureDomain, Region: o.Region, Class: o.Class,
		Reclaimable: o.Reclaimable, State: infra.HostLive, PricePerHour: o.PricePerHour,
	}, nil
}
