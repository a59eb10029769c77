package job

import (
	"math"
	"sync"
	"time"
)

// Defaults of CheckpointPolicy.
const (
	defaultMeanTimeToLoss    = time.Hour
	defaultCheckpointCost    = 100 * time.Millisecond
	defaultCheckpointsPerSec = 20
	// historyLosses limits the total weight of the observed losses. The
	// estimate therefore averages over about this many mean times to loss.
	historyLosses = 8
)

// CheckpointPolicy determines how often the answer of a running request is
// recorded. It estimates the mean time to loss from the observed losses, and
// uses the first-order optimum of Young ("A first order approximation to the
// optimum checkpoint interval", 1974) as refined by Daly ("A higher order
// estimate of the optimum checkpoint interval for restart dumps", 2006). It is
// safe for concurrent use.
type CheckpointPolicy struct {
	// Cost is the cost of one checkpoint, as generation time of a stream.
	Cost time.Duration
	// PerSecond limits the rate of checkpoints of this process.
	PerSecond float64

	mu sync.Mutex
	// exposure is the total running time of the observed streams, and losses
	// the number of them that were lost. Both are scaled down by decay.
	exposure time.Duration
	losses   float64
}

// NewCheckpointPolicy returns a CheckpointPolicy whose initial estimate of the
// mean time to the loss of a stream is meanTimeToLoss. Zero values take
// defaults.
func NewCheckpointPolicy(cost time.Duration, perSecond float64, meanTimeToLoss time.Duration) *CheckpointPolicy {
	setDefault(&cost, defaultCheckpointCost)
	setDefault(&meanTimeToLoss, defaultMeanTimeToLoss)
	if perSecond <= 0 {
		perSecond = defaultCheckpointsPerSec
	}
	return &CheckpointPolicy{Cost: cost, PerSecond: perSecond, exposure: meanTimeToLoss, losses: 1}
}

// Observe adds an observation: the total running time of streams, and how many
// of them were lost with their engine.
func (p *CheckpointPolicy) Observe(ran time.Duration, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exposure += ran
	p.losses += float64(lost)
	// Reduce the weight of older observations, so that the estimate follows
	// changes of the loss rate.
	if p.losses > historyLosses {
		p.decay(historyLosses / p.losses)
	}
}

// decay scales the weight of all observations by a factor.
func (p *CheckpointPolicy) decay(factor float64) {
	p.exposure = time.Duration(float64(p.exposure) * factor)
	p.losses *= factor
}

// MeanTimeToLoss returns the current estimate of the mean time until a stream
// is lost.
func (p *CheckpointPolicy) MeanTimeToLoss() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.exposure) / p.losses)
}

// Interval returns the time between two checkpoints of a stream, given the
// number of running streams that share the limit PerSecond.
func (p *CheckpointPolicy) Interval(running int) time.Duration {
	floor := time.Duration(float64(running) / p.PerSecond * float64(time.Second))
	return max(optimalInterval(p.Cost, p.MeanTimeToLoss()), floor)
}

// optimalInterval returns Daly's estimate for the cost of a checkpoint and the
// mean time to loss.
func optimalInterval(cost, mean time.Duration) time.Duration {
	if cost >= 2*mean {
		return mean
	}
	ratio := float64(cost) / float64(2*mean)
	firstOrder := math.Sqrt(2 * float64(cost) * float64(mean))
	return time.Duration(firstOrder*(1+math.Sqrt(ratio)/3+ratio/9)) - cost
}
