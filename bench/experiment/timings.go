package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histogram.
const (
	shortestMicros    = 1
	longestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// timings is a histogram of durations.
type timings struct{ h *hdrhistogram.Histogram }

func newTimings() *timings {
	return &timings{h: hdrhistogram.New(shortestMicros, longestMicros, significantDigits)}
}

func (t *timings) add(d time.Duration) {
	// Durations above the range count as its upper end.
	_ = t.h.RecordValue(min(d.Microseconds(), longestMicros))
}

// percentile returns a percentile in seconds.
func (t *timings) percentile(percent float64) float64 {
	return float64(t.h.ValueAtQuantile(percent)) / float64(time.Second/time.Microsecond)
}
