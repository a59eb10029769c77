package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

// Change is the kind of a difference.
type Change string

// Kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one difference between two configurations.
type Difference struct {
	Change Change `json:"change"`
	// Subject names the part of the configuration, for example "route r-1".
	Subject string `json:"subject"`
	// Field is the field that changed; it is empty if all of the part was added
	// or removed, whose fields Old or New lists then.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

type field struct{ name, value string }

// part is a part of a configuration with its fields, in the same order in all
// parts of one kind.
type part struct {
	subject string
	fields  []field
}

// Differences returns the differences between two compiled configurations by
// route, service, customer and limits; the version isn't one.
func Differences(old, next *config.Configuration) []Difference {
	before, after := parts(old), parts(next)
	var out []Difference
	for _, p := range before {
		i := slices.IndexFunc(after, func(q part) bool { return q.subject == p.subject })
		if i < 0 {
			out = append(out, Difference{Change: Removed, Subject: p.subject, Old: p.summary()})
			continue
		}
		for j, f := range p.fields {
			if value := after[i].fields[j].value; value != f.value {
				out = append(out, Difference{Change: Changed, Subject: p.subject, Field: f.name, Old: f.value, New: value})
			}
		}
	}
	for _, p := range after {
		if !slices.ContainsFunc(before, func(q part) bool { return q.subject == p.subject }) {
			out = append(out, Difference{Change: Added, Subject: p.subject, New: p.summary()})
		}
	}
	return out
}

func (p part) summary() string {
	var out []string
	for _, f := range p.fields {
		out = append(out, f.name+" "+f.value)
	}
	return strings.Join(out, "; ")
}

func parts(c *config.Configuration) []part {
	var out []part
	seen := make(map[string]int)
	// Parts of one name are numbered, so that none of them is left out.
	add := func(subject string, fields []field) {
		seen[subject]++
		if n := seen[subject]; n > 1 {
			subject = fmt.Sprintf("%s (%d)", subject, n)
		}
		out = append(out, part{subject, fields})
	}
	for i := range c.Routes {
		add(routeSubject(&c.Routes[i]), routeFields(&c.Routes[i]))
	}
	for _, name := range serviceNames(c) {
		add("service "+name, serviceFields(c.Services[name]))
	}
	for i := range c.Customers {
		add("customer "+c.Customers[i].Name, customerFields(&c.Customers[i]))
	}
	add("limits", []field{{"body size", bound(float64(c.Limits.BodyBytes))}})
	return out
}

func routeFields(r *config.Route) []field {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, t.Service+":"+number(t.Weight))
	}
	return []field{
		{"host", r.Host}, {"prefix", r.Prefix}, {"kind", string(r.Kind)},
		{"services", strings.Join(targets, ", ")},
		{"timeout", r.Timeout.String()}, {"latency objective", r.Objective.String()},
		{"urgency", strconv.Itoa(r.Urgency)}, {"attempts", strconv.Itoa(r.Attempts)},
		{"public", strconv.FormatBool(r.Public)}, {"resumable", strconv.FormatBool(r.Resumable)},
	}
}

func serviceFields(s config.Service) []field {
	const none = "none"
	slots, replicas, start, reclaimable, prices := none, none, none, none, none
	if s.Engine != nil {
		slots = strconv.Itoa(s.Engine.Slots)
	}
	if c := s.Scaling; c != nil {
		replicas = fmt.Sprintf("%d to %s", c.Min, bound(float64(c.Max)))
		start, reclaimable = c.Boot.String(), number(c.SpotPrice)
		// Maps are printed in the order of their keys.
		prices = strings.TrimPrefix(fmt.Sprint(c.DomainPrices), "map")
	}
	return []field{
		{"engine slots", slots}, {"replicas", replicas}, {"start", start},
		{"reclaimable price", reclaimable}, {"prices", prices},
	}
}

func customerFields(c *config.Customer) []field {
	urgency, unit := "of the route", "requests"
	if c.HasUrgency {
		urgency = strconv.Itoa(c.Urgency)
	}
	if c.CountTokens {
		unit = "tokens"
	}
	var keys []string
	for _, key := range c.Keys {
		keys = append(keys, KeyHash(key))
	}
	slices.Sort(keys)
	return []field{
		{"keys", strings.Join(keys, ", ")}, {"urgency", urgency}, {"unit", unit},
		{"limit a second", bound(c.PerSecond)}, {"burst", number(c.Burst)},
		{"tokens of a plain request", number(c.DefaultTokens)},
	}
}

// number formats without an exponent, so that limits can be compared by eye.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// bound formats a limit, of which 0 means none.
func bound(v float64) string {
	if v == 0 {
		return "no limit"
	}
	return number(v)
}
