package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// priorHostHours is the weight of an offer's loss rate against own
	// observation.
	priorHostHours = 4.0
	// lossHalfLife is the time in which own observation counts half.
	lossHalfLife = 6 * time.Hour
)

// econ is what using a host costs.
type econ struct {
	pricePerSecond float64
	lossPerSecond  float64
}

// offerKey names a kind of host whose price and loss rate are one.
type offerKey struct {
	failureDomain string
	class         string
	reclaimable   bool
}

func offerOf(h *infra.Host) offerKey {
	return offerKey{h.FailureDomain, h.Class, h.Reclaimable}
}

// market knows prices and loss rates. It is guarded by Fleet.mu.
type market struct {
	offers   map[offerKey]infra.Offer
	observed map[offerKey]exposure
	last     time.Time
}

// exposure is what was seen of a kind of host.
type exposure struct {
	hostHours float64
	losses    float64
}

func newMarket() market {
	return market{offers: make(map[offerKey]infra.Offer), observed: make(map[offerKey]exposure)}
}

// SetOffers takes over the prices and loss rates that the cloud states.
func (f *Fleet) SetOffers(offers []infra.Offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.market.offers = make(map[offerKey]infra.Offer, len(offers))
	for _, o := range offers {
		f.market.offers[offerKey{o.FailureDomain, o.Class, o.Reclaimable}] = o
	}
	f.rebuild()
}

// expose counts the hours that the hosts ran since the last call.
func (m *market) expose(now time.Time, hosts map[hostKey]*hostState) {
	elapsed := now.Sub(m.last)
	first := m.last.IsZero()
	m.last = now
	if first || elapsed <= 0 {
		return
	}
	keep := 1 / (1 + elapsed.Hours()/lossHalfLife.Hours())
	for key, e := range m.observed {
		m.observed[key] = exposure{e.hostHours * keep, e.losses * keep}
	}
	for _, h := range hosts {
		e := m.observed[offerOf(&h.Host)]
		e.hostHours += elapsed.Hours()
		m.observed[offerOf(&h.Host)] = e
	}
}

// lose counts the loss of a host.
func (m *market) lose(h *infra.Host) {
	e := m.observed[offerOf(h)]
	e.losses++
	m.observed[offerOf(h)] = e
}

// of returns a host's price, as listed before as offered, and its loss rate,
// the offer's mixed with own observation.
func (m *market) of(h *infra.Host) *econ {
	key := offerOf(h)
	offer := m.offers[key]
	price := h.PricePerHour
	if price <= 0 {
		price = offer.PricePerHour
	}
	seen := m.observed[key]
	loss := (offer.LossPerHour*priorHostHours + seen.losses) / (priorHostHours + seen.hostHours)
	return &econ{
		pricePerSecond: price / time.Hour.Seconds(),
		lossPerSecond:  loss / time.Hour.Seconds(),
	}
}
