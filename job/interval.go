package job

import (
	"math"
	"sync"
	"time"
)

// Defaults of Pacing.
const (
	defaultMeanTimeToLoss    = time.Hour
	defaultCheckpointCost    = 100 * time.Millisecond
	defaultCheckpointsPerSec = 20
	// memoryLosses is how many mean times to loss the estimate looks back.
	memoryLosses = 8
)

// CheckpointPolicy says how often the answer of a running request is recorded. It
// follows the first-order optimum of Young ("A first order approximation to
// the optimum checkpoint interval", 1974) as refined by Daly ("A higher order
// estimate of the optimum checkpoint interval for restart dumps", 2006), from
// the losses that were observed. It is safe for concurrent use.
type CheckpointPolicy struct {
	// Cost is what one checkpoint costs, as generation time of a stream.
	Cost time.Duration
	// PerSecond bounds the checkpoints of this process.
	PerSecond float64

	mu sync.Mutex
	// exposure is the running time observed, losses what was lost in it.
	exposure time.Duration
	losses   float64
}

// NewCheckpointPolicy returns a Pacing that begins with an estimate of the mean time to
// the loss of a stream. Zero values take defaults.
func NewCheckpointPolicy(cost time.Duration, perSecond float64, meanTimeToLoss time.Duration) *CheckpointPolicy {
	setDefault(&cost, defaultCheckpointCost)
	setDefault(&meanTimeToLoss, defaultMeanTimeToLoss)
	if perSecond <= 0 {
		perSecond = defaultCheckpointsPerSec
	}
	return &CheckpointPolicy{Cost: cost, PerSecond: perSecond, exposure: meanTimeToLoss, losses: 1}
}

// Observe tells that streams ran for a time in all, and how many of them were
// lost with their engine.
func (p *CheckpointPolicy) Observe(ran time.Duration, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exposure += ran
	p.losses += float64(lost)
	// Older observations fade, so that the estimate follows the night.
	if p.losses > memoryLosses {
		p.fade(memoryLosses / p.losses)
	}
}

func (p *CheckpointPolicy) fade(by float64) {
	p.exposure = time.Duration(float64(p.exposure) * by)
	p.losses *= by
}

// MeanTimeToLoss is the current estimate for one stream.
func (p *CheckpointPolicy) MeanTimeToLoss() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.exposure) / p.losses)
}

// Interval is the time between two checkpoints of a stream while running
// streams share the write budget.
func (p *CheckpointPolicy) Interval(running int) time.Duration {
	floor := time.Duration(float64(running) / p.PerSecond * float64(time.Second))
	return max(optimum(p.Cost, p.MeanTimeToLoss()), floor)
}

// optimum is Daly's estimate.
func optimum(cost, mean time.Duration) time.Duration {
	if cost >= 2*mean {
		return mean
	}
	ratio := float64(cost) / float64(2*mean)
	first := math.Sqrt(2 * float64(cost) * float64(mean))
	return time.Duration(first*(1+math.Sqrt(ratio)/3+ratio/9)) - cost
}
