package rate

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// Bucket is a token bucket whose size can change. It differs from
// x/time/rate in that a request's true size is known only at its end: what
// was taken too little becomes debt that is paid before anything else.
type Bucket struct {
	// rate is in tokens per second.
	rate  float64
	burst float64
	// tokens and debt are never negative.
	tokens float64
	debt   float64
	// At is up to when the bucket was filled.
	At     time.Time
	filled bool
	// lacking is the part that the first Resize doesn't fill.
	lacking float64
}

// Partly returns a bucket that the first Resize fills only in part, for a
// process that can't know what others took before it started.
func Partly(now time.Time, part float64) Bucket { return Bucket{At: now, lacking: 1 - part} }

// Resize changes rate and burst. The first call fills the bucket.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	if !b.filled {
		b.filled = true
		b.tokens = burst * (1 - b.lacking)
	}
	b.tokens = min(b.tokens, burst)
}

// Lower leaves the bucket at most so full, as a part of its size.
func (b *Bucket) Lower(now time.Time, part float64) {
	b.refill(now)
	b.tokens = min(b.tokens, b.burst*part)
}

// Give adds n tokens, up to the size of the bucket.
func (b *Bucket) Give(now time.Time, n float64) {
	b.refill(now)
	b.give(n)
}

// Take takes n tokens, or returns how long to wait for them. A request larger
// than the bucket is taken from a full one and leaves the rest as debt.
func (b *Bucket) Take(now time.Time, n float64) time.Duration {
	b.refill(now)
	need := min(n, b.burst)
	if short := need + b.debt - b.tokens; short > 0 {
		return Seconds(short / b.rate)
	}
	b.tokens -= need
	b.debt += n - need
	invariant.Check(b.tokens >= 0, invariant.LimitNotNegative, "bucket holds %v tokens", b.tokens)
	return 0
}

// Reservation is the answer to a wish for tokens.
type Reservation struct {
	// OK says that they were taken. They are there after Wait.
	OK bool
	// Delay is how long until they are there.
	Delay time.Duration
}

// ReserveWithin takes n tokens that are there within a time at the latest. Who
// comes later waits behind them.
func (b *Bucket) ReserveWithin(now time.Time, n float64, within time.Duration) Reservation {
	wait := b.Take(now, n)
	if wait <= 0 || wait > within {
		return Reservation{OK: wait <= 0, Delay: wait}
	}
	b.debt += n - b.tokens
	b.tokens = 0
	return Reservation{OK: true, Delay: wait}
}

// Correct settles the difference between what was taken and what was used.
func (b *Bucket) Correct(now time.Time, taken, used float64) {
	b.refill(now)
	if used > taken {
		b.debt += used - taken
	} else {
		b.give(taken - used)
	}
	b.settle()
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.At); elapsed > 0 {
		b.give(b.rate * elapsed.Seconds())
		b.At = now
	}
}

func (b *Bucket) give(n float64) {
	paid := min(n, b.debt)
	b.debt -= paid
	b.tokens = min(b.tokens+n-paid, b.burst)
}

func (b *Bucket) settle() {
	paid := min(b.tokens, b.debt)
	b.debt -= paid
	b.tokens -= paid
}

// Seconds returns s seconds, at most an hour.
func Seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// Tokens returns what the bucket held when it was last used.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Debt returns what was used beyond the bucket's size and not yet paid.
func (b *Bucket) Debt() float64 { return b.debt }
