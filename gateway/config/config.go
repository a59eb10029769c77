package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request of a route may run, and how it is
// answered.
type Kind string

// Kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests may run at most once.
	Once Kind = "once"
	// Stream requests are answered by a series of events. They may run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path, and sets where they are sent and how
// they are handled.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the time from the arrival of a request to its answer.
	Timeout time.Duration
	// Objective is the latency objective; for streams, that of the first event.
	Objective time.Duration
	// Urgency is the priority of requests; 0 is the most urgent.
	Urgency int
	// Attempts is the maximum number of replicas that one request is sent to.
	Attempts int
	Targets  []Target
	// Public routes need no API key.
	Public bool
	// Resumable streams may be resumed at another replica after the last event.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Scaling bounds the number of replicas of a service in one failure domain.
type Scaling struct {
	Min, Max int
	// Boot is the time from ordering a replica until it serves requests.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable replica as a fraction of the
	// price of an on-demand one; 0 if there are no reclaimable ones.
	SpotPrice float64
	// DomainPrices are the prices of a replica by failure domain.
	DomainPrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one replica runs at the same time.
	Slots int
}

// Service is a group of replicas that run the same program.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the scaling controller doesn't order the replicas of
	// the service.
	Scaling *Scaling
}

// Customer is a customer with its API keys and its limit.
type Customer struct {
	Name string
	Keys []string
	// Urgency overrides that of the route if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// PerSecond and Burst limit the requests over all entries, counted in
	// tokens if CountTokens is set. PerSecond 0 means no limit.
	PerSecond, Burst float64
	CountTokens      bool
	// DefaultTokens is the number of tokens that a request counts if it doesn't
	// state them.
	DefaultTokens float64
}

// Limits bound what clients may send. Zero means no limit.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of the settings that an operator makes. It must
// not be changed once it is compiled.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits

	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Customer
	byName map[string]*Customer
	// minObjective holds the minimum latency objective by service.
	minObjective      map[string]time.Duration
	minObjectiveOfAll time.Duration
	// highestUrgency holds the urgency of the most urgent route by service.
	highestUrgency map[string]int
}

// Compile builds the indexes of the configuration and returns it.
func (c *Configuration) Compile() *Configuration {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Customer)
	c.byName = make(map[string]*Customer)
	c.minObjective = make(map[string]time.Duration)
	c.highestUrgency = make(map[string]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		for _, t := range r.Targets {
			if old, ok := c.highestUrgency[t.Service]; !ok || r.Urgency < old {
				c.highestUrgency[t.Service] = r.Urgency
			}
			if old := c.minObjective[t.Service]; r.Objective > 0 && (old == 0 || r.Objective < old) {
				c.minObjective[t.Service] = r.Objective
			}
			if r.Objective > 0 && (c.minObjectiveOfAll == 0 || r.Objective < c.minObjectiveOfAll) {
				c.minObjectiveOfAll = r.Objective
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

// Route returns the route of a host with the longest prefix that matches a
// path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MinLatencyObjective returns the minimum latency objective of the routes to a
// service, or 0 if none has one.
func (c *Configuration) MinLatencyObjective(service string) time.Duration {
	return c.minObjective[service]
}

// HighestUrgency returns the urgency of the most urgent of the routes to a service;
// 0 is the most urgent of all.
func (c *Configuration) HighestUrgency(service string) int { return c.highestUrgency[service] }

// MinLatencyObjectiveOfAll returns the minimum latency objective of all routes,
// or 0 if none has one.
func (c *Configuration) MinLatencyObjectiveOfAll() time.Duration { return c.minObjectiveOfAll }

// RequiresKey reports whether requests need an API key, unless their route is
// public.
func (c *Configuration) RequiresKey() bool { return len(c.Customers) > 0 }

// CustomerByKey returns the customer with an API key, or nil.
func (c *Configuration) CustomerByKey(key string) *Customer { return c.byKey[key] }

// Customer returns the customer with a name, or nil.
func (c *Configuration) Customer(name string) *Customer { return c.byName[name] }

// Pick returns the service for a request, or "" without targets. A uniformly
// distributed u in [0, 1) divides requests by the targets' weights.
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
