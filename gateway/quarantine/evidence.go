package quarantine

import (
	"slices"
	"sort"
	"time"
)

const (
	// retention is how long a crash counts.
	retention = 30 * time.Minute
	// maxCrashesPerCustomer and maxCustomers bound the evidence that is kept.
	maxCrashesPerCustomer = 32
	maxCustomers          = 128
)

// crashKey identifies the crash of one incarnation of a replica, as evidence on
// the parts of one customer.
type crashKey struct {
	customer, replica string
	incarnation       int64
}

// crash is evidence against prompt parts. It is replaced and never modified.
type crash struct {
	crashKey
	service, version, domain string
	// parts are the shared parts of all requests whose answers the replica
	// began to write when it crashed. answered are those of them for which an
	// entry has announced an answer after the crash. Both are sorted and without
	// duplicates.
	parts, answered []uint64
	// at is the time of the crash by the clock of this process.
	at time.Time
}

// hasPart reports whether the crash is evidence against a part, whether or not
// it was answered since.
func (c *crash) hasPart(part uint64) bool {
	_, found := slices.BinarySearch(c.parts, part)
	return found
}

// isAnswered reports whether an answer on a part after the crash was announced.
func (c *crash) isAnswered(part uint64) bool {
	_, found := slices.BinarySearch(c.answered, part)
	return found
}

// merge returns the crash with what another entry knows of it, and false if
// that is nothing new.
func (c *crash) merge(o *crash) (*crash, bool) {
	merged := *c
	merged.parts, merged.answered = union(c.parts, o.parts), union(c.answered, o.answered)
	if len(merged.parts) > maxMergedParts || len(merged.parts) == len(c.parts) && len(merged.answered) == len(c.answered) {
		return c, false
	}
	return &merged, true
}

// union returns the sorted union of two lists.
func union(x, y []uint64) []uint64 {
	out := slices.Concat(x, y)
	slices.Sort(out)
	return slices.Compact(out)
}

// evidence holds the crashes that count. They are numbered in the order in which
// they are sent to peers.
type evidence struct {
	// byCustomer holds the crashes of each customer in the order of their
	// arrival.
	byCustomer map[string][]*crash
	// log is sorted by sequence number.
	log []logged
	seq uint64
}

type logged struct {
	seq   uint64
	crash *crash
}

func newEvidence() evidence { return evidence{byCustomer: make(map[string][]*crash)} }

// add adds a crash, or what is new of a known one. It reports whether anything
// was new.
func (e *evidence) add(c *crash) bool {
	if time.Since(c.at) > retention {
		return false
	}
	list := e.byCustomer[c.customer]
	known := slices.IndexFunc(list, func(x *crash) bool { return x.crashKey == c.crashKey })
	if known >= 0 {
		merged, changed := list[known].merge(c)
		if !changed {
			return false
		}
		e.unlog(list[known])
		list[known], c = merged, merged
	} else {
		e.makeRoom(c.customer)
		e.byCustomer[c.customer] = append(e.byCustomer[c.customer], c)
	}
	e.seq++
	e.log = append(e.log, logged{e.seq, c})
	return true
}

// makeRoom forgets the oldest crash of the customer, or the customer whose last
// crash is the oldest, if there are too many.
func (e *evidence) makeRoom(customer string) {
	if list := e.byCustomer[customer]; len(list) >= maxCrashesPerCustomer {
		e.remove(list[0])
	}
	if len(e.byCustomer) < maxCustomers || e.byCustomer[customer] != nil {
		return
	}
	var oldest *crash
	for _, list := range e.byCustomer {
		if last := list[len(list)-1]; oldest == nil || last.at.Before(oldest.at) {
			oldest = last
		}
	}
	for _, c := range slices.Clone(e.byCustomer[oldest.customer]) {
		e.remove(c)
	}
}

func (e *evidence) remove(c *crash) {
	list := slices.DeleteFunc(slices.Clone(e.byCustomer[c.customer]), func(x *crash) bool { return x == c })
	if len(list) == 0 {
		delete(e.byCustomer, c.customer)
	} else {
		e.byCustomer[c.customer] = list
	}
	e.unlog(c)
}

func (e *evidence) unlog(c *crash) {
	e.log = slices.DeleteFunc(e.log, func(l logged) bool { return l.crash == c })
}

// since returns up to limit crashes after a position in the log.
func (e *evidence) since(position uint64, limit int) []logged {
	first := sort.Search(len(e.log), func(i int) bool { return e.log[i].seq > position })
	return e.log[first:min(first+limit, len(e.log))]
}

// expire forgets old crashes and returns their customers.
func (e *evidence) expire(now time.Time) []string {
	var customers []string
	for customer, list := range e.byCustomer {
		expired := slices.DeleteFunc(slices.Clone(list), func(c *crash) bool { return now.Sub(c.at) <= retention })
		if len(expired) == 0 {
			continue
		}
		customers = append(customers, customer)
		for _, c := range expired {
			e.remove(c)
		}
	}
	return customers
}
