package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind string

// Kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once marks requests that may run at most once.
	Once Kind = "once"
	// Stream marks requests answered by a series of events. They may run at
	// most once unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says where requests go, and how they may be treated.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with a
	// slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the time from the arrival of a request to its answer.
	Timeout time.Duration
	// Objective is the latency objective, for streams that of the first event.
	Objective time.Duration
	// Urgency is the rank; 0 is the most urgent.
	Urgency int
	// Attempts bounds the replicas that one request is sent to.
	Attempts int
	Targets  []Target
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another replica after the last event.
	Resumable bool
}

// MayRepeat says whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Scaling bounds the replicas of a service in one failure domain.
type Scaling struct {
	Min, Max int
	// Boot is the time until a new replica serves.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable replica as a part of the price
	// of an on-demand one; 0 where there are none.
	SpotPrice float64
	// DomainPrices are the prices of a replica by failure domain.
	DomainPrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one replica runs at once.
	Slots int
}

// Service is a group of replicas of one program.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil where the number of replicas is not ours to order.
	Scaling *Scaling
}

// Customer is a customer with its keys and its limit.
type Customer struct {
	Name string
	Keys []string
	// Urgency goes before that of the route where Ranked is set.
	Urgency int
	Ranked  bool
	// PerSecond and Burst limit the requests over all entries, counted in
	// tokens where CountTokens is set. PerSecond 0 is no limit.
	PerSecond, Burst float64
	CountTokens      bool
	// PlainTokens is what a request counts that doesn't state its tokens.
	PlainTokens float64
}

// Limits bound what clients may send. A zero value is no limit.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of all that an operator sets. It must not be
// changed once it was compiled.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
	byName map[string]*Customer
	// tightest is by service.
	tightest      map[string]time.Duration
	tightestOfAll time.Duration
}

// Compile builds the indexes of the configuration and returns it.
func (c *Configuration) Compile() *Configuration {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Customer)
	c.byName = make(map[string]*Customer)
	c.tightest = make(map[string]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		for _, t := range r.Targets {
			if old := c.tightest[t.Service]; r.Objective > 0 && (old == 0 || r.Objective < old) {
				c.tightest[t.Service] = r.Objective
			}
			if r.Objective > 0 && (c.tightestOfAll == 0 || r.Objective < c.tightestOfAll) {
				c.tightestOfAll = r.Objective
			}
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		c.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
	}
	return c
}

// Route returns the route with the longest prefix of a path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MinLatencyObjective returns the tightest latency objective of the routes to a service,
// 0 where none is stated.
func (c *Configuration) MinLatencyObjective(service string) time.Duration { return c.tightest[service] }

// MinLatencyObjectiveOfAll returns the tightest latency objective of all routes, 0 where
// none is stated.
func (c *Configuration) MinLatencyObjectiveOfAll() time.Duration { return c.tightestOfAll }

// Keyed says whether requests need a key.
func (c *Configuration) Keyed() bool { return len(c.Customers) > 0 }

// CustomerOf returns the customer that holds a key, or nil.
func (c *Configuration) CustomerOf(key string) *Customer { return c.byKey[key] }

// Customer returns a customer by name, or nil.
func (c *Configuration) Customer(name string) *Customer { return c.byName[name] }

// Pick returns the service of a request; u in [0, 1) divides requests by the
// targets' weights.
func (r *Route) Pick(u float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := u * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
