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

// answeredParts remembers the times of answers on parts.
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

// record records an answer on a part, unless a later one is known. It reports whether
// that is new.
func (a answeredParts) record(customer string, part uint64, at time.Time) bool {
	parts, ok := a.byCustomer.Get(customer)
	if !ok {
		parts = newCache[uint64, time.Time](maxAnsweredParts)
		a.byCustomer.Add(customer, parts)
	}
	if last, ok := parts.Get(part); ok && !at.After(last) {
		return false
	}
	parts.Add(part, at)
	return true
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

// answers is what an entry knows of the answers on the parts of a customer: when it
// last had one itself, and the latest time after which others have announced one.
// Either returns the zero time for never.
type answers struct {
	own, others func(part uint64) time.Time
}

// ever reports whether a part was ever answered.
func (a answers) ever(part uint64) bool { return !a.own(part).IsZero() || !a.others(part).IsZero() }

// since reports whether a part was answered since a time.
func (a answers) since(part uint64, at time.Time) bool {
	return !at.After(a.own(part)) || !at.After(a.others(part))
}
