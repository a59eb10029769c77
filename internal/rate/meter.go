package rate

import (
	"math"
	"time"
)

// meterHorizon is the time constant of a meter: long enough to smooth single
// requests, short enough that parts of a limit follow a shift of demand
// within seconds.
const meterHorizon = 5 * time.Second

// EWMA measures a rate as an exponentially decaying average.
type EWMA struct {
	perSecond float64
	At        time.Time
}

func (m *EWMA) Add(now time.Time, n float64) {
	m.perSecond = m.Rate(now) + n/meterHorizon.Seconds()
	m.At = now
}

func (m *EWMA) Rate(now time.Time) float64 {
	elapsed := now.Sub(m.At)
	if elapsed <= 0 {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-elapsed.Seconds()/meterHorizon.Seconds())
}
