package quota

import (
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// sizeClasses is the number of classes of requests by size: the largest tenth,
	// the fifth below it, and the rest.
	sizeClasses = 3
	// recentSizes is the number of requests that the classes are derived from, and
	// sizesPeriod the number of requests between two derivations.
	recentSizes, sizesPeriod = 64, 16
	// minServed is the least served fraction of a class relative to that of all requests
	// while the customer asks for more than its limit. Classes of larger requests must
	// be served half as often as all; the rest is for changes of the load. Equal
	// fractions would refuse many small requests for each large one.
	minServed = 0.7
	// smallFraction is the fraction of the mean size up to which a request is served
	// whatever the classes are: all of these together take few units from larger ones.
	smallFraction = 0.1
)

// sizes balances the requests of a customer by size. A bucket that is nearly empty
// otherwise only ever has units for the smallest requests.
type sizes struct {
	recent [recentSizes]float64
	// count is the number of requests so far.
	count int
	// bounds are the units above which a request is in the middle and in the largest
	// class.
	bounds [sizeClasses - 1]float64
	// asked and granted are rates of requests by class.
	asked, granted [sizeClasses]rate.EWMA
}

// ask counts a request and returns its class.
func (s *sizes) ask(now time.Time, units float64) int {
	s.recent[s.count%recentSizes] = units
	s.count++
	if s.count%sizesPeriod == 0 {
		s.derive()
	}
	class := 0
	for _, bound := range s.bounds {
		if bound > 0 && units > bound {
			class++
		}
	}
	s.asked[class].Add(now, 1)
	return class
}

// isSmall reports whether a request is much smaller than others of the customer.
func (s *sizes) isSmall(units float64) bool {
	n := min(s.count, recentSizes)
	sum := 0.0
	for _, v := range s.recent[:n] {
		sum += v
	}
	return units*float64(n) <= smallFraction*sum
}

// derive derives the classes. Where many requests have the same size, a class holds
// only larger ones.
func (s *sizes) derive() {
	sorted := slices.Clone(s.recent[:min(s.count, recentSizes)])
	slices.Sort(sorted)
	for i, fraction := range [...]float64{0.7, 0.9} {
		s.bounds[i] = sorted[int(fraction*float64(len(sorted)))]
	}
}

func (s *sizes) grant(now time.Time, class int) { s.granted[class].Add(now, 1) }

// mayTake reports whether a request of a class may take units: no class of larger
// requests is served too seldom, or its own class is as well.
func (s *sizes) mayTake(now time.Time, class int) bool {
	asked, granted := 0.0, 0.0
	for i := range sizeClasses {
		asked += s.asked[i].Rate(now)
		granted += s.granted[i].Rate(now)
	}
	isShort := func(i int) bool {
		return s.granted[i].Rate(now)*asked < minServed*granted*s.asked[i].Rate(now)
	}
	if isShort(class) {
		return true
	}
	for larger := class + 1; larger < sizeClasses; larger++ {
		if isShort(larger) {
			return false
		}
	}
	return true
}
