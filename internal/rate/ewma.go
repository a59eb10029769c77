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
	// perSecond is the average as of At, in units per second.
	perSecond float64
	At        time.Time
	// TimeConstant is that of the decay; 0 means ewmaTimeConstant.
	TimeConstant time.Duration
}

func (e *EWMA) seconds() float64 {
	if e.TimeConstant > 0 {
		return e.TimeConstant.Seconds()
	}
	return ewmaTimeConstant.Seconds()
}

// Add counts n units at the time now.
func (e *EWMA) Add(now time.Time, n float64) {
	e.perSecond = e.Rate(now) + n/e.seconds()
	e.At = now
}

// Rate returns the rate at the time now, in units per second.
func (e *EWMA) Rate(now time.Time) float64 {
	elapsed := now.Sub(e.At)
	if elapsed <= 0 {
		return e.perSecond
	}
	return e.perSecond * math.Exp(-elapsed.Seconds()/e.seconds())
}
