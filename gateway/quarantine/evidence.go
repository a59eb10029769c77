package quarantine

import (
	"slices"
	"sort"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// retention is how long a crash counts.
	retention = 30 * time.Minute
	// maxCrashesPerCustomer and maxCustomers bound the evidence that is kept.
	maxCrashesPerCustomer = 32
	maxCustomers          = 128
)

// evidence holds the crashes that count. They are numbered in the order in which
// they are sent to peers.
type evidence struct {
	// byCustomer holds the crashes of each customer in the order of their
	// arrival.
	byCustomer map[string][]*crash
	// crashed holds the number of crashes of each incarnation that are not refuted.
	crashed map[incarnation]int
	// logs hold what is sent to peers, by class, sorted by sequence number.
	logs [peer.EvidenceClasses][]logged
	seq  uint64
	// news holds the answers that were announced lately, by customer.
	news map[string]*news
}

// The classes of evidence, in the order in which they are sent.
const (
	newsClass = iota
	strongClass
	weakClass
)

// logged is a crash or the news of a customer in the log.
type logged struct {
	seq   uint64
	crash *crash
	news  string
	// own is set if this is only what this entry added. All that is known is logged
	// apart from that.
	own bool
	// peers holds the peers that have sent all of it.
	peers []string
}

func newEvidence() evidence {
	return evidence{byCustomer: make(map[string][]*crash), crashed: make(map[incarnation]int), news: make(map[string]*news)}
}

// add adds a crash, or what is new of a known one. It reports whether anything
// was new. source is the peer that sent it, "" for this entry. keep reports whether a
// crash should be forgotten after all others.
func (e *evidence) add(c *crash, source string, known answers, keep func(c *crash) bool) bool {
	if time.Since(c.at) > retention {
		return false
	}
	list := e.byCustomer[c.customer]
	index := slices.IndexFunc(list, func(x *crash) bool { return x.crashKey == c.crashKey })
	if index >= 0 {
		merged, changed := list[index].merge(c, list)
		if !changed {
			e.noteSender(list[index], c, source)
			return false
		}
		e.uncount(list[index])
		e.count(merged)
		list[index] = merged
		e.append(merged, false)
		e.noteSender(merged, c, source)
	} else {
		c.bound(list)
		e.makeRoom(c.customer, known, keep)
		e.byCustomer[c.customer] = append(e.byCustomer[c.customer], c)
		e.count(c)
		e.append(c, false)
		e.noteSender(c, c, source)
	}
	if source == "" {
		e.append(e.withOwn(c), true)
	}
	return true
}

// withOwn returns what this entry has added to a crash, now and before.
func (e *evidence) withOwn(c *crash) *crash {
	for _, log := range e.logs {
		for _, l := range log {
			if l.own && l.isOf(c) {
				merged, _ := l.crash.merge(c, nil)
				return merged
			}
		}
	}
	return c
}

func (l logged) isOf(c *crash) bool { return l.crash != nil && l.crash.crashKey == c.crashKey }

// append puts a crash at the end of its log, in place of what was known of it.
func (e *evidence) append(c *crash, own bool) {
	e.unlog(func(l logged) bool { return l.own == own && l.isOf(c) })
	class := weakClass
	if len(c.strong) > 0 || c.refuted {
		class = strongClass
	}
	e.appendTo(class, logged{crash: c, own: own})
}

func (e *evidence) appendTo(class int, l logged) {
	e.seq++
	l.seq = e.seq
	e.logs[class] = append(e.logs[class], l)
}

func (e *evidence) unlog(matches func(l logged) bool) {
	for class := range e.logs {
		e.logs[class] = slices.DeleteFunc(e.logs[class], matches)
	}
}

// noteSender records that a peer has sent all that is known of a crash, if it has.
func (e *evidence) noteSender(known, sent *crash, source string) {
	if source == "" || !known.sameEvidence(sent) {
		return
	}
	for _, log := range e.logs {
		for i := range log {
			if l := &log[i]; l.crash == known && !l.own && !slices.Contains(l.peers, source) {
				l.peers = append(l.peers, source)
			}
		}
	}
}

// makeRoom forgets a crash of the customer, or the customer whose last crash is the
// oldest, if there are too many.
func (e *evidence) makeRoom(customer string, known answers, keep func(c *crash) bool) {
	if list := e.byCustomer[customer]; len(list) >= maxCrashesPerCustomer {
		e.remove(leastValued(list, known, keep))
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

// leastValued returns the crash to forget first: one that needn't be kept, whose
// parts the fewest others count against, and of these the first.
func leastValued(list []*crash, known answers, keep func(c *crash) bool) *crash {
	shared := sharedWithOthers(list, known)
	value := func(c *crash) int {
		if keep(c) {
			return maxCrashesPerCustomer + shared[c]
		}
		return shared[c]
	}
	return slices.MinFunc(list, func(x, y *crash) int { return value(x) - value(y) })
}

// count and uncount keep the number of crashes of each incarnation.
func (e *evidence) count(c *crash) {
	if !c.refuted {
		e.crashed[c.incarnation()]++
	}
}

func (e *evidence) uncount(c *crash) {
	if c.refuted {
		return
	}
	if e.crashed[c.incarnation()]--; e.crashed[c.incarnation()] == 0 {
		delete(e.crashed, c.incarnation())
	}
}

func (e *evidence) remove(c *crash) {
	e.uncount(c)
	list := slices.DeleteFunc(slices.Clone(e.byCustomer[c.customer]), func(x *crash) bool { return x == c })
	if len(list) == 0 {
		delete(e.byCustomer, c.customer)
		e.dropNews()
	} else {
		e.byCustomer[c.customer] = list
	}
	e.unlog(func(l logged) bool { return l.isOf(c) })
}

// since returns up to limit pieces after a position that a peer has not sent, and the
// position of the last one considered. Without relay these are only what this entry
// added.
func (e *evidence) since(to string, relay bool, position peer.EvidencePosition, limit int) ([]logged, peer.EvidencePosition) {
	var out []logged
	for class, log := range e.logs {
		first := sort.Search(len(log), func(i int) bool { return log[i].seq > position[class] })
		for _, l := range log[first:] {
			if l.own != relay && !slices.Contains(l.peers, to) {
				if len(out) >= limit {
					return out, position
				}
				out = append(out, l)
			}
			position[class] = l.seq
		}
	}
	return out, position
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
