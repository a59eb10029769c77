package admission

import (
	"math"
	"time"
)

// meterHorizon is the time constant of a meter: long enough to smooth single
// requests, short enough that parts of a limit follow a shift of demand
// within seconds.
const meterHorizon = 5 * time.Second

// meter measures a rate as an exponentially decaying average.
type meter struct {
	perSecond float64
	at        time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.perSecond = m.rate(now) + n/meterHorizon.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-elapsed.Seconds()/meterHorizon.Seconds())
}
