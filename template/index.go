package template

// Index is one version of a template with the lookup tables that requests need.
// It is immutable: a request that holds an Index never sees a later version.
//
// The tables are built once for a version and read by every request, just as
// the plan cache of CUBRID compiles a statement once and executes it many times
// ("CUBRID XASL Cache"). CUBRID compares time stamps between prepare and
// execute and invalidates plans by dependency. Neither is needed here, because
// a request holds the version itself and a change replaces the complete Index.
type Index struct {
	Template      *Template
	kinds         map[string]Kind
	customers     map[string]Customer
	nameByKeyHash map[string]string
	services      map[string]Service
}

// NewIndex returns the Index of t. The caller must not change t afterwards.
func NewIndex(t *Template) *Index {
	x := &Index{
		Template:      t,
		kinds:         make(map[string]Kind, len(t.Kinds)),
		customers:     make(map[string]Customer, len(t.Customers)),
		nameByKeyHash: make(map[string]string, len(t.Customers)),
		services:      make(map[string]Service, len(t.Services)),
	}
	for _, k := range t.Kinds {
		x.kinds[k.Name] = k
	}
	for _, c := range t.Customers {
		x.customers[c.Name] = c
		x.nameByKeyHash[c.KeySHA256] = c.Name
	}
	for _, s := range t.Services {
		x.services[s.Name] = s
	}
	return x
}

// template returns the template, or nil for a nil Index.
func (x *Index) template() *Template {
	if x == nil {
		return nil
	}
	return x.Template
}

// version returns the version of the template, or 0 for a nil Index.
func (x *Index) version() uint64 {
	if x == nil {
		return 0
	}
	return x.Template.Version
}

// Kind returns the kind with the given name.
func (x *Index) Kind(name string) (Kind, bool) {
	k, ok := x.kinds[name]
	return k, ok
}

// Customer returns the customer with the given name.
func (x *Index) Customer(name string) (Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// CustomerByKey returns the customer whose API key has the given SHA-256, in
// lower-case hex.
func (x *Index) CustomerByKey(hash string) (Customer, bool) {
	name, ok := x.nameByKeyHash[hash]
	if !ok {
		return Customer{}, false
	}
	return x.Customer(name)
}

// Service returns the plain service with the given name.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}
