package check

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

func (f *findings) services(c *config.Configuration) {
	reached := make(map[string]bool)
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			reached[t.Service] = reached[t.Service] || t.Weight > 0
		}
	}
	for _, name := range serviceNames(c) {
		s, subject := c.Services[name], "service "+name
		if !reached[name] {
			f.warnf(subject, "no route reaches it")
		}
		if s.Engine != nil && s.Engine.Slots < 0 {
			f.errorf(subject, "number of slots %d is negative", s.Engine.Slots)
		}
		if s.Scaling != nil {
			f.scaling(subject, s.Scaling)
		}
	}
}

func (f *findings) scaling(subject string, s *config.Scaling) {
	if s.Min < 0 || s.Max < 0 {
		f.errorf(subject, "bounds of replicas %d to %d are negative", s.Min, s.Max)
	}
	if s.Boot < 0 {
		f.errorf(subject, "time to start a replica is negative or too large")
	}
	if s.SpotPrice < 0 || slices.ContainsFunc(slices.Collect(maps.Values(s.DomainPrices)), func(p float64) bool { return p < 0 }) {
		f.errorf(subject, "a price of replicas is negative")
	}
	// Max 0 is no bound.
	if s.Max > 0 && s.Min > s.Max {
		f.warnf(subject, "minimum of replicas %d is above the maximum %d", s.Min, s.Max)
	}
}

func (f *findings) customers(c *config.Configuration) {
	holders := make(map[string]string)
	names := make(map[string]bool)
	for i := range c.Customers {
		customer := &c.Customers[i]
		subject := "customer " + customer.Name
		if customer.Name == "" {
			f.warnf(subject, "has no name")
		}
		if names[customer.Name] {
			f.warnf(subject, "another customer has the same name")
		}
		names[customer.Name] = true
		for _, key := range customer.Keys {
			if key == "" {
				f.errorf(subject, "has an empty API key, so requests without a key count for it")
			}
			if other, found := holders[key]; found && other == customer.Name {
				f.warnf(subject, "API key %s is given twice", KeyHash(key))
			} else if found {
				f.warnf(subject, "API key %s is also held by customer %s; its requests count for %s",
					KeyHash(key), other, customer.Name)
			}
			holders[key] = customer.Name
		}
		f.customerLimit(subject, customer)
	}
}

func (f *findings) customerLimit(subject string, c *config.Customer) {
	if c.PerSecond < 0 || c.Burst < 0 || c.DefaultTokens < 0 {
		f.errorf(subject, "limit %s a second, burst %s or tokens of a plain request %s is negative",
			number(c.PerSecond), number(c.Burst), number(c.DefaultTokens))
		return
	}
	if c.PerSecond == 0 {
		return
	}
	switch {
	case !c.CountTokens && c.Burst < 1:
		f.errorf(subject, "burst %s is below one request, so no request is admitted", number(c.Burst))
	case c.CountTokens && c.Burst < max(1, c.DefaultTokens):
		f.warnf(subject, "burst %s is below the %s tokens of a request that doesn't state them",
			number(c.Burst), number(max(1, c.DefaultTokens)))
	}
}

// ConnectionTimeouts returns the findings of the timeouts of clients'
// connections. 0 means none.
func ConnectionTimeouts(header, idle time.Duration) []Finding {
	var f findings
	if header < 0 || idle < 0 {
		f.errorf("limits", "header timeout or idle timeout is negative or too large")
	} else if idle > 0 && idle < header {
		f.warnf("limits", "idle timeout %v is below the header timeout %v", idle, header)
	}
	return f
}

// Succession returns the findings of a configuration as the successor of the
// one in force.
func Succession(inForce, next *config.Configuration) []Finding {
	var f findings
	if next.Version <= inForce.Version && len(Differences(inForce, next)) > 0 {
		f.errorf("configuration", "never takes force: version %d is not above version %d in force", next.Version, inForce.Version)
	}
	for _, name := range serviceNames(next) {
		old, s := inForce.Services[name].Scaling, next.Services[name].Scaling
		if old != nil && s != nil && s.Max > 0 && (old.Max == 0 || s.Max < old.Max) {
			f.warnf("service "+name, "maximum of replicas %d is lower than the one in force, %s", s.Max, bound(float64(old.Max)))
		}
	}
	for i := range next.Customers {
		c := &next.Customers[i]
		if old := inForce.Customer(c.Name); old != nil && old.CountTokens == c.CountTokens {
			f.lowered("customer "+c.Name, old, c)
		}
	}
	if b, old := next.Limits.BodyBytes, inForce.Limits.BodyBytes; b > 0 && (old == 0 || b < old) {
		f.warnf("limits", "body size %d is lower than the one in force, %s", b, bound(float64(old)))
	}
	return f
}

func (f *findings) lowered(subject string, old, c *config.Customer) {
	if c.PerSecond <= 0 {
		return
	}
	if old.PerSecond <= 0 || c.PerSecond < old.PerSecond {
		f.warnf(subject, "limit %s a second is lower than the one in force, %s", number(c.PerSecond), bound(old.PerSecond))
	}
	if old.PerSecond > 0 && c.Burst < old.Burst {
		f.warnf(subject, "burst %s is lower than the one in force, %s", number(c.Burst), number(old.Burst))
	}
}
