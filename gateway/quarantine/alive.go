package quarantine

import (
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// maxEndedReplicas and maxEndedAnswers bound the answers of which it is not known
	// yet whether they were whole.
	maxEndedReplicas = 256
	maxEndedAnswers  = 32
)

// incarnation identifies a process of a replica.
type incarnation struct {
	replica string
	number  int64
}

func incarnationOf(r *replica.Replica) incarnation { return incarnation{r.ID, r.Incarnation} }

// endedAnswer is an answer that ended with its connection. Either it was whole, or
// its replica crashed.
type endedAnswer struct {
	customer string
	parts    []uint64
	at       time.Time
}

// Ended records that the answer of a replica to a request with these shared parts
// ended with its connection. It counts as an answer on them once the replica is known
// to have lived on.
func (s *Set) Ended(r *replica.Replica, customer string, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list, _ := s.ended.Get(incarnationOf(r))
	list = slices.DeleteFunc(slices.Clone(list), func(a endedAnswer) bool { return a.customer == customer && slices.Equal(a.parts, parts) })
	list = append(list, endedAnswer{customer, parts, time.Now()})
	s.ended.Add(incarnationOf(r), list[max(0, len(list)-maxEndedAnswers):])
}

// Alive records that a replica has answered a request, with the times at which the
// request was sent and its connection opened. What seemed to be a crash of the replica
// in between was none: the next process would not have the connection.
func (s *Set) Alive(r *replica.Replica, opened, sent time.Time) {
	key := incarnationOf(r)
	s.mu.Lock()
	ended, _ := s.ended.Peek(key)
	var later []endedAnswer
	for _, a := range ended {
		if a.at.Before(sent) {
			s.answeredLocked(a.customer, a.parts, a.at)
		} else {
			later = append(later, a)
		}
	}
	if len(later) < len(ended) {
		s.ended.Add(key, later)
	}
	var refuted []*crash
	if s.evidence.crashed[key] > 0 {
		for _, list := range s.evidence.byCustomer {
			for _, c := range list {
				if c.incarnation() == key && !c.refuted && c.at.After(opened) && c.at.Before(sent) {
					refuted = append(refuted, c.refutation(sent))
				}
			}
		}
	}
	s.mu.Unlock()
	for _, c := range refuted {
		s.addCrash(c, "", "refuted")
	}
}

func (c *crash) incarnation() incarnation { return incarnation{c.replica, c.number} }

// refutation returns the record that the replica lived until a time after what seemed
// to be its crash. It replaces all evidence of it.
func (c *crash) refutation(until time.Time) *crash {
	return &crash{crashKey: c.crashKey, service: c.service, version: c.version, domain: c.domain, at: until, refuted: true}
}
