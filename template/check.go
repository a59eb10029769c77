package template

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/coltsfootcleat/coltsfootcleat/internal/tomlfile"
)

// checker collects the problems of a template. It checks the rules that concern
// several values; tags of the struct fields define the other rules.
type checker struct {
	t        *Template
	problems []tomlfile.Problem
	models   map[string]bool
	services map[string]bool
	kinds    map[string]Kind
}

// problems returns one problem for each rule that t violates.
func (t *Template) problems() []tomlfile.Problem {
	c := &checker{
		t:        t,
		problems: tomlfile.Validate(t),
		models:   make(map[string]bool),
		services: make(map[string]bool),
		kinds:    make(map[string]Kind),
	}
	for i, m := range t.Models {
		c.checkUnique(c.models, fmt.Sprintf("models[%d].name", i), m.Name)
	}
	c.checkKinds()
	c.checkServices()
	c.checkCustomers()
	return c.problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkUnique adds name to seen and reports a name that was seen before.
func (c *checker) checkUnique(seen map[string]bool, key, name string) {
	if name == "" {
		return
	}
	if seen[name] {
		c.add(key, "%q stands twice", name)
	}
	seen[name] = true
}

func (c *checker) checkKinds() {
	names := make(map[string]bool)
	for i, k := range c.t.Kinds {
		key := fmt.Sprintf("kinds[%d]", i)
		c.checkUnique(names, key+".name", k.Name)
		c.kinds[k.Name] = k
		c.checkKind(key, k)
	}
}

func (c *checker) checkKind(key string, k Kind) {
	if k.Model != "" && !c.models[k.Model] {
		c.add(key+".model", "unknown model %q", k.Model)
	}
	if k.Model != "" && k.MaxTokens == 0 {
		c.add(key+".max_tokens", "a kind with a model needs at least 1")
	}
	if k.Model == "" && k.MaxTokens > 0 {
		c.add(key+".max_tokens", "a kind without a model has no tokens")
	}
	durable := k.Delivery == DeliveryDurable
	if durable && k.Model == "" {
		c.add(key+".delivery", "a durable kind needs a model")
	}
	if durable && k.Outage == "" {
		c.add(key+".outage", "a durable kind needs an outage policy")
	}
	if !durable && k.Outage != "" {
		c.add(key+".outage", "applies to durable kinds only")
	}
}

func (c *checker) checkServices() {
	for i, s := range c.t.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.checkUnique(c.services, key+".name", s.Name)
		routes := make(map[string]bool)
		for j, r := range s.Routes {
			at := fmt.Sprintf("%s.routes[%d]", key, j)
			c.checkUnique(routes, at+".path", r.Method+" "+r.Path)
			c.checkRoute(at, r)
		}
	}
}

func (c *checker) checkRoute(key string, r Route) {
	if r.Method != strings.ToUpper(r.Method) {
		c.add(key+".method", "must be in upper case, not %q", r.Method)
	}
	star := strings.Index(r.Path, "*")
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		c.add(key+".path", "must begin with /")
	}
	if star >= 0 && star != len(r.Path)-1 {
		c.add(key+".path", "may have * at its end only")
	}
	if r.Kind == "" {
		return
	}
	k, ok := c.kinds[r.Kind]
	if !ok {
		c.add(key+".kind", "unknown kind %q", r.Kind)
		return
	}
	if k.Model != "" {
		c.add(key+".kind", "kind %q is answered by a model", r.Kind)
	}
}

func (c *checker) checkCustomers() {
	names := make(map[string]bool)
	customerByHash := make(map[string]string)
	for i, customer := range c.t.Customers {
		key := fmt.Sprintf("customers[%d]", i)
		c.checkUnique(names, key+".name", customer.Name)
		other, inUse := customerByHash[customer.KeySHA256]
		if inUse && customer.KeySHA256 != "" {
			c.add(key+".key_sha256", "is also the key of %q", other)
		}
		customerByHash[customer.KeySHA256] = customer.Name
		c.checkCustomer(key, customer)
	}
}

func (c *checker) checkCustomer(key string, customer Customer) {
	kinds := make(map[string]bool)
	for i, kind := range customer.Kinds {
		at := fmt.Sprintf("%s.kinds[%d]", key, i)
		c.checkUnique(kinds, at, kind)
		if _, ok := c.kinds[kind]; !ok {
			c.add(at, "unknown kind %q", kind)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(customer.ModelVersions)) {
		at := key + ".model_versions." + model
		if !c.models[model] {
			c.add(at, "unknown model %q", model)
		}
		if customer.ModelVersions[model] == "" {
			c.add(at, "is empty")
		}
	}
}
