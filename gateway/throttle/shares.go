package throttle

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Class is what a request is to its caller, as far as permits are divided by it.
type Class int

// Classes of requests.
const (
	// Urgent requests have the highest priority of their service.
	Urgent Class = iota
	// Normal requests have a lower one.
	Normal
	// Repeat requests were sent to a replica before.
	Repeat
	classes
)

// classWeights divide the permits of a limit between the classes of first sends
// if both ask for more than there are.
var classWeights = [classes]float64{Urgent: 5, Normal: 1}

const (
	// shareMemory and minShareMemory are the time constant of the permits that
	// count for a share, in permits of the whole limit and as a time.
	shareMemory    = 12
	minShareMemory = 5 * time.Second
	// contention and minContention are how long a denial counts as demand, in
	// permits of the whole limit and as a time.
	contention    = 4
	minContention = 2 * time.Second
	// maxCustomers bounds the customers whose shares are kept.
	maxCustomers = 64
)

// share holds the permits that a class or a customer got.
type share struct {
	granted  float64
	at       time.Time
	deniedAt time.Time
}

func (s *share) decayed(now time.Time, perSecond float64) float64 {
	memory := max(minShareMemory.Seconds(), shareMemory/perSecond)
	return s.granted * math.Exp(-now.Sub(s.at).Seconds()/memory)
}

func (s *share) grant(now time.Time, perSecond float64) {
	s.granted, s.at = s.decayed(now, perSecond)+1, now
}

// wants reports whether more was asked for recently than was granted.
func (s *share) wants(now time.Time, perSecond float64) bool {
	recent := max(minContention, time.Duration(contention/perSecond*float64(time.Second)))
	return !s.deniedAt.IsZero() && now.Sub(s.deniedAt) <= recent
}

// shares divides the permits of a limit by class and customer.
type shares struct {
	byClass    [classes]share
	byCustomer map[string]*share
}

func (s *shares) customer(name string) *share {
	if s.byCustomer == nil || len(s.byCustomer) >= maxCustomers && s.byCustomer[name] == nil {
		s.byCustomer = make(map[string]*share)
	}
	if s.byCustomer[name] == nil {
		s.byCustomer[name] = &share{}
	}
	return s.byCustomer[name]
}

// classMayTake reports whether a request may get the next permit by its class. It
// may not if the class got more than its part of the last ones while another one
// was denied, or if it is a repeat and first sends were denied.
func (s *shares) classMayTake(class Class, now time.Time, perSecond float64) bool {
	own, total, weights := 0.0, 0.0, 0.0
	for other := Urgent; other <= Normal; other++ {
		c := &s.byClass[other]
		granted := c.decayed(now, perSecond)
		switch {
		case other == class:
			own = granted
		case !c.wants(now, perSecond):
			continue
		case class == Repeat:
			return false
		}
		total += granted
		weights += classWeights[other]
	}
	return class == Repeat || own+0.5 <= classWeights[class]/weights*(total+1)
}

// customerMayTake reports the same by the request's customer, all of which have
// equal parts.
func (s *shares) customerMayTake(customer string, now time.Time, perSecond float64) bool {
	own, total, n := 0.0, 0.0, 0.0
	// Sums of floating-point numbers depend on their order.
	for _, name := range slices.Sorted(maps.Keys(s.byCustomer)) {
		c := s.byCustomer[name]
		granted := c.decayed(now, perSecond)
		if name == customer {
			own = granted
		} else if !c.wants(now, perSecond) {
			continue
		}
		total += granted
		n++
	}
	return n <= 1 || own+0.5 <= (total+1)/n+1
}

func (s *shares) grant(q Request, now time.Time, perSecond float64) {
	s.byClass[q.Class].grant(now, perSecond)
	s.customer(q.Customer).grant(now, perSecond)
}

func (s *shares) deny(q Request, now time.Time) {
	s.byClass[q.Class].deniedAt = now
	s.customer(q.Customer).deniedAt = now
}
