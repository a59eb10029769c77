package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// priorHostHours is the weight of an offer's loss rate, in host hours of
	// the entry's own observation.
	priorHostHours = 4.0
	// lossHalfLife is the age at which the weight of an observation is halved.
	lossHalfLife = 6 * time.Hour
)

// hostEconomics holds the price and the loss rate of a host, per second.
type hostEconomics struct {
	pricePerSecond float64
	lossPerSecond  float64
}

// offerKey identifies a kind of host. All hosts of a kind have the same offered
// price and loss rate.
type offerKey struct {
	failureDomain string
	class         string
	reclaimable   bool
}

func offerKeyOf(h *infra.Host) offerKey {
	return offerKey{h.FailureDomain, h.Class, h.Reclaimable}
}

// market holds the offered prices and loss rates and the observed losses. It is
// guarded by Fleet.mu.
type market struct {
	offers     map[offerKey]infra.Offer
	observed   map[offerKey]exposure
	lastUpdate time.Time
}

// exposure holds the observed running time and losses of a kind of host. Both
// decay over time.
type exposure struct {
	hostHours float64
	losses    float64
}

func newMarket() market {
	return market{offers: make(map[offerKey]infra.Offer), observed: make(map[offerKey]exposure)}
}

// SetOffers applies the prices and loss rates that the cloud offers.
func (f *Fleet) SetOffers(offers []infra.Offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.market.offers = make(map[offerKey]infra.Offer, len(offers))
	for _, o := range offers {
		f.market.offers[offerKey{o.FailureDomain, o.Class, o.Reclaimable}] = o
	}
	f.rebuild()
}

// addHostHours adds the running time of the hosts since the last call, after
// decaying the earlier observations.
func (m *market) addHostHours(now time.Time, hosts map[hostKey]*hostState) {
	elapsed := now.Sub(m.lastUpdate)
	first := m.lastUpdate.IsZero()
	m.lastUpdate = now
	if first || elapsed <= 0 {
		return
	}
	decay := 1 / (1 + elapsed.Hours()/lossHalfLife.Hours())
	for key, e := range m.observed {
		m.observed[key] = exposure{e.hostHours * decay, e.losses * decay}
	}
	for _, h := range hosts {
		e := m.observed[offerKeyOf(&h.Host)]
		e.hostHours += elapsed.Hours()
		m.observed[offerKeyOf(&h.Host)] = e
	}
}

// recordLoss counts the loss of a host.
func (m *market) recordLoss(h *infra.Host) {
	e := m.observed[offerKeyOf(h)]
	e.losses++
	m.observed[offerKeyOf(h)] = e
}

// economicsOf returns a host's price and loss rate. A price in the host list
// takes precedence over that of the offer. The loss rate is the mean of the
// offered and the observed one, weighted by host hours.
func (m *market) economicsOf(h *infra.Host) *hostEconomics {
	key := offerKeyOf(h)
	offer := m.offers[key]
	price := h.PricePerHour
	if price <= 0 {
		price = offer.PricePerHour
	}
	observed := m.observed[key]
	loss := (offer.LossPerHour*priorHostHours + observed.losses) / (priorHostHours + observed.hostHours)
	return &hostEconomics{
		pricePerSecond: price / time.Hour.Seconds(),
		lossPerSecond:  loss / time.Hour.Seconds(),
	}
}
