package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxAnsweredCustomers and maxAnsweredParts bound the parts whose last
	// answer is remembered. Each customer has its own bound, so that one that
	// makes up a part for each request doesn't displace those of others.
	maxAnsweredCustomers = 128
	maxAnsweredParts     = 256
)

// answeredParts remembers when this entry last had an answer on a part.
type answeredParts struct {
	byCustomer *lru.Cache[string, *lru.Cache[uint64, time.Time]]
}

func newAnsweredParts() answeredParts {
	return answeredParts{newCache[string, *lru.Cache[uint64, time.Time]](maxAnsweredCustomers)}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	c, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // the size isn't positive
	}
	return c
}

func (a answeredParts) record(customer string, part uint64, at time.Time) {
	parts, ok := a.byCustomer.Get(customer)
	if !ok {
		parts = newCache[uint64, time.Time](maxAnsweredParts)
		a.byCustomer.Add(customer, parts)
	}
	parts.Add(part, at)
}

// last returns the time of the last answer on a part, the zero time if there is
// none.
func (a answeredParts) last(customer string, part uint64) time.Time {
	parts, ok := a.byCustomer.Peek(customer)
	if !ok {
		return time.Time{}
	}
	at, _ := parts.Peek(part)
	return at
}
