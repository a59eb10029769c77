package admission

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// bucket is a token bucket whose size can change. It differs from
// x/time/rate in that a request's true size is known only at its end: what
// was taken too little becomes debt that is paid before anything else.
type bucket struct {
	// rate is in tokens per second.
	rate  float64
	burst float64
	// tokens and debt are never negative.
	tokens float64
	debt   float64
	at     time.Time
	filled bool
}

// resize changes rate and burst. The first call fills the bucket.
func (b *bucket) resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	if !b.filled {
		b.filled = true
		b.tokens = burst
	}
	b.tokens = min(b.tokens, burst)
}

// take takes n tokens, or returns how long to wait for them. A request larger
// than the bucket is taken from a full one and leaves the rest as debt.
func (b *bucket) take(now time.Time, n float64) time.Duration {
	b.refill(now)
	need := min(n, b.burst)
	if short := need + b.debt - b.tokens; short > 0 {
		return seconds(short / b.rate)
	}
	b.tokens -= need
	b.debt += n - need
	invariant.Check(b.tokens >= 0, invariant.LimitNotNegative, "bucket holds %v tokens", b.tokens)
	return 0
}

// correct settles the difference between what was taken and what was used.
func (b *bucket) correct(now time.Time, taken, used float64) {
	b.refill(now)
	if used > taken {
		b.debt += used - taken
	} else {
		b.give(taken - used)
	}
	b.settle()
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.give(b.rate * elapsed.Seconds())
		b.at = now
	}
}

func (b *bucket) give(n float64) {
	paid := min(n, b.debt)
	b.debt -= paid
	b.tokens = min(b.tokens+n-paid, b.burst)
}

func (b *bucket) settle() {
	paid := min(b.tokens, b.debt)
	b.debt -= paid
	b.tokens -= paid
}

// seconds returns s seconds, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
