package rate

import (
	"math"
	"time"
)

// ewmaTimeConstant is long enough to smooth single requests, and short enough
// that shares of a limit follow a shift of demand within seconds.
const ewmaTimeConstant = 5 * time.Second

// EWMA measures a rate as an exponentially decaying average.
type EWMA struct {
	perSecond float64
	At        time.Time
}

// Add counts n units at a time.
func (m *EWMA) Add(now time.Time, n float64) {
	m.perSecond = m.Rate(now) + n/ewmaTimeConstant.Seconds()
	m.At = now
}

// Rate returns the rate at a time, in units per second.
func (m *EWMA) Rate(now time.Time) float64 {
	elapsed := now.Sub(m.At)
	if elapsed <= 0 {
		return m.perSecond
	}
	return m.perSecond * math.Exp(-elapsed.Seconds()/ewmaTimeConstant.Seconds())
}
