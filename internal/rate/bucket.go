package rate

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// Bucket is a token bucket whose size can change. Unlike x/time/rate it allows
// for requests whose actual cost is known only at their end: the cost beyond
// the tokens taken becomes debt, which refills pay before they add tokens.
type Bucket struct {
	// rate is in tokens per second.
	rate  float64
	burst float64
	// tokens and debt are never negative.
	tokens float64
	debt   float64
	// At is the time up to which the bucket was refilled.
	At      time.Time
	resized bool
	// initialDeficit is the fraction of the bucket that the first call of
	// Resize leaves empty. That call sets resized.
	initialDeficit float64
}

// PartlyFilled returns a bucket that the first call of Resize fills to a
// fraction. It is for a process that has no record of what others took before
// it started.
func PartlyFilled(now time.Time, fraction float64) Bucket {
	return Bucket{At: now, initialDeficit: 1 - fraction}
}

// Resize changes rate and burst. The first call also fills the bucket, less its
// initial deficit.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	if !b.resized {
		b.resized = true
		b.tokens = burst * (1 - b.initialDeficit)
	}
	b.tokens = min(b.tokens, burst)
}

// CapFill limits the tokens in the bucket to a fraction of its size.
func (b *Bucket) CapFill(now time.Time, fraction float64) {
	b.refill(now)
	b.tokens = min(b.tokens, b.burst*fraction)
}

// AddTokens adds n tokens, up to the size of the bucket. Debt is paid first.
func (b *Bucket) AddTokens(now time.Time, n float64) {
	b.refill(now)
	b.credit(n)
}

// Level returns the tokens in the bucket less its debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.tokens - b.debt
}

// SetLevel sets the tokens, up to the size of the bucket, or the debt if level is
// negative.
func (b *Bucket) SetLevel(now time.Time, level float64) {
	b.refill(now)
	b.tokens, b.debt = min(max(0, level), b.burst), max(0, -level)
}

// Take takes n tokens and returns 0, or takes none and returns the time until
// they are available. A request larger than the bucket takes all tokens of a
// full bucket and leaves the rest as debt.
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

// Reservation is the result of reserving tokens.
type Reservation struct {
	// OK is set if the tokens were reserved. They are available after Delay.
	OK bool
	// Delay is the time until the tokens are available.
	Delay time.Duration
}

// ReserveWithin reserves n tokens if they are available within maxDelay. Later
// callers wait until the reserved tokens have been refilled.
func (b *Bucket) ReserveWithin(now time.Time, n float64, maxDelay time.Duration) Reservation {
	wait := b.Take(now, n)
	if wait <= 0 || wait > maxDelay {
		return Reservation{OK: wait <= 0, Delay: wait}
	}
	b.debt += n - b.tokens
	b.tokens = 0
	return Reservation{OK: true, Delay: wait}
}

// Settle settles the difference between the tokens that a request took and
// those that it used.
func (b *Bucket) Settle(now time.Time, taken, used float64) {
	b.refill(now)
	if used > taken {
		b.debt += used - taken
	} else {
		b.credit(taken - used)
	}
	b.payDebt()
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.At); elapsed > 0 {
		b.credit(b.rate * elapsed.Seconds())
		b.At = now
	}
}

// credit adds tokens after it has paid debt with them.
func (b *Bucket) credit(n float64) {
	paid := min(n, b.debt)
	b.debt -= paid
	b.tokens = min(b.tokens+n-paid, b.burst)
}

// payDebt pays debt with the tokens in the bucket.
func (b *Bucket) payDebt() {
	paid := min(b.tokens, b.debt)
	b.debt -= paid
	b.tokens -= paid
}

// Seconds converts s seconds to a Duration of at most an hour.
func Seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// Tokens returns the number of tokens as of the last call that refilled the
// bucket.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Debt returns the number of tokens that were used beyond those in the bucket
// and that refills have not paid yet.
func (b *Bucket) Debt() float64 { return b.debt }
