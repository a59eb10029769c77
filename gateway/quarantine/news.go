package quarantine

import (
	"time"
)

const (
	// newsTime is how long an announced answer is sent to peers. Later it is only sent
	// with the crashes.
	newsTime = 5 * time.Second
	// maxNews bounds the parts of a customer in it.
	maxNews = 64
)

// news holds when parts of a customer were last answered: what this entry announced,
// and what any entry did.
type news struct {
	own, all map[uint64]time.Time
}

// addNews puts announced answers at the end of the log.
func (e *evidence) addNews(customer string, answered map[uint64]time.Time, own bool) {
	n := e.news[customer]
	if n == nil {
		n = &news{own: make(map[uint64]time.Time), all: make(map[uint64]time.Time)}
		e.news[customer] = n
	}
	now := time.Now()
	e.appendNews(customer, n.all, answered, now, false)
	if own {
		e.appendNews(customer, n.own, answered, now, true)
	}
}

func (e *evidence) appendNews(customer string, to, answered map[uint64]time.Time, now time.Time, own bool) {
	for part, at := range to {
		if now.Sub(at) > newsTime {
			delete(to, part)
		}
	}
	for part, at := range answered {
		if len(to) < maxNews {
			to[part] = at
		}
	}
	e.unlog(func(l logged) bool { return l.own == own && l.crash == nil && l.news == customer })
	e.appendTo(newsClass, logged{news: customer, own: own})
}

// dropNews forgets the news of customers without crashes.
func (e *evidence) dropNews() {
	for customer := range e.news {
		if e.byCustomer[customer] == nil {
			delete(e.news, customer)
			e.unlog(func(l logged) bool { return l.crash == nil && l.news == customer })
		}
	}
}
